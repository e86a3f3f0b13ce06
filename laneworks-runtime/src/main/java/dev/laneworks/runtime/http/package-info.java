/**
 * Non-blocking HTTP client that reports whether a request may have been sent, and helpers
 * for HTTP bodies.
 */
package dev.laneworks.runtime.http;
