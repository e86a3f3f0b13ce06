/**
 * Reads JSON with comments into values that know their line.
 */
package dev.laneworks.core.document;
