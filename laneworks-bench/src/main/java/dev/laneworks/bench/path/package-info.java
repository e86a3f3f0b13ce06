/**
 * Measures the path from a caller to an engine, with and without the system between them.
 */
package dev.laneworks.bench.path;
