/**
 * Keeping a copy of a store's items: a full read, then a watch for changes.
 */
package dev.laneworks.core.follow;
