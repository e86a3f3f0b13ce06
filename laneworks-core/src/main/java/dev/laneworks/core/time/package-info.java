/**
 * What is due at a time, for code that reads no clock.
 */
package dev.laneworks.core.time;
