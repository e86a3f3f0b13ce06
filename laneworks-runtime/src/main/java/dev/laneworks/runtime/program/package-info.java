/**
 * What the command lines of all programs share.
 */
package dev.laneworks.runtime.program;
