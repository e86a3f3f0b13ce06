/**
 * Calls HTTP servers without blocking, and says whether a request may have been sent.
 */
package dev.laneworks.runtime.http;
