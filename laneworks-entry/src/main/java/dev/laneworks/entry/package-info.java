/**
 * The program that callers reach.
 */
package dev.laneworks.entry;
