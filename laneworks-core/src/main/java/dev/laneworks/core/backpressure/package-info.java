/**
 * Keeps what targets in need ask for in their answers.
 */
package dev.laneworks.core.backpressure;
