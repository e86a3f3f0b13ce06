/**
 * Child processes that tests start, signal and end.
 */
package dev.laneworks.standin.process;
