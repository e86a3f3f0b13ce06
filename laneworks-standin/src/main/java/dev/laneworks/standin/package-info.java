/**
 * Launches the stand-ins.
 */
package dev.laneworks.standin;
