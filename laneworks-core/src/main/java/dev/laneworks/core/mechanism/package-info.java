/**
 * The mechanisms of an entry that can be switched off, to measure what each is worth.
 */
package dev.laneworks.core.mechanism;
