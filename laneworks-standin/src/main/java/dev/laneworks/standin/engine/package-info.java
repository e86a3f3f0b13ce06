/**
 * Stand-in for a model engine with continuous batching and bounded memory.
 */
package dev.laneworks.standin.engine;
