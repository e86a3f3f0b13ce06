/**
 * HTTP client that reads, checks and times streamed responses.
 */
package dev.laneworks.standin.client;
