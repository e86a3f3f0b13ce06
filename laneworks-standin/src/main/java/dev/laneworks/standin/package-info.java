/**
 * Command-line program that starts the stand-ins.
 */
package dev.laneworks.standin;
