/**
 * Reading of JSON with comments into values that keep their line.
 */
package dev.laneworks.core.document;
