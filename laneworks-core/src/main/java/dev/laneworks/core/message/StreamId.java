package dev.laneworks.core.message;

/**
 * Identifier of one attempt of one request, unique at one entry.
 *
 * @param call the entry's number of the request, never reused by that entry
 * @param attempt the number of the attempt, starting at 1
 * @since 0.1
 */
public record StreamId(long call, int attempt) {

}
