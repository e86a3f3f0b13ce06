/**
 * Entry program, which serves callers over HTTP and routes their requests to targets.
 */
package dev.laneworks.entry;
