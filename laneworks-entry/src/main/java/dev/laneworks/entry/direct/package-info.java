/**
 * Entry that sends callers' requests straight to targets registered in the platform's
 * store.
 */
package dev.laneworks.entry.direct;
