/**
 * Follows a store's items by reading them once and watching for changes.
 */
package dev.laneworks.core.follow;
