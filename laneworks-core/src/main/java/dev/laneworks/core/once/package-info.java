/**
 * At-most-once execution of keyed requests without a shared store.
 */
package dev.laneworks.core.once;
