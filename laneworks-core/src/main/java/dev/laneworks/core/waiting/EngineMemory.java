package dev.laneworks.core.waiting;

/**
 * Memory of the engines of a service that accept work.
 *
 * @param totalTokens the memory of all of them, in tokens
 * @param utilization the mean part of it that is reserved, from 0
 * @since 0.4
 */
public record EngineMemory(double totalTokens, double utilization) {

}
