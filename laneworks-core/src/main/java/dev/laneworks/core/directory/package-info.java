/**
 * The targets that list themselves, and which of them are leaving.
 */
package dev.laneworks.core.directory;
