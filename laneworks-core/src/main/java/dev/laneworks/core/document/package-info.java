/**
 * Reading of JSON with comments into values that record their line.
 */
package dev.laneworks.core.document;
