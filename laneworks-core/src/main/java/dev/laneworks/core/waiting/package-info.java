/**
 * Queue of generations that wait at an entry for engine memory.
 */
package dev.laneworks.core.waiting;
