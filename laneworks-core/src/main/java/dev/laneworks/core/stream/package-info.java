/**
 * Output log of a generation, positions in the output, and the signed tokens of positions
 * and tickets.
 */
package dev.laneworks.core.stream;
