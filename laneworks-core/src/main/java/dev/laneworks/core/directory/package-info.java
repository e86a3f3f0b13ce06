/**
 * The targets known from the list of targets, and which of them are draining.
 */
package dev.laneworks.core.directory;
