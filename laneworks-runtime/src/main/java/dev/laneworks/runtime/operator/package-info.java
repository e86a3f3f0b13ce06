/**
 * The port that operators and scrapers use.
 */
package dev.laneworks.runtime.operator;
