/**
 * A stand-in for a model engine that batches continuously in a bounded memory.
 */
package dev.laneworks.standin.engine;
