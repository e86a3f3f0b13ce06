/**
 * Serves callers by sending their requests straight to targets that list themselves.
 */
package dev.laneworks.entry.direct;
