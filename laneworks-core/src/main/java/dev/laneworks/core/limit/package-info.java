/**
 * Limits each client account without shared state.
 */
package dev.laneworks.core.limit;
