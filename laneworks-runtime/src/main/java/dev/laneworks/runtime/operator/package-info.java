/**
 * HTTP server for operators and metric scrapers.
 */
package dev.laneworks.runtime.operator;
