/**
 * Runs a request that must not be repeated at most once, without a shared store.
 */
package dev.laneworks.core.once;
