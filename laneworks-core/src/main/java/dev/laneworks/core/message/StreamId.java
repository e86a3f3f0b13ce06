package dev.laneworks.core.message;

/**
 * Names one attempt of one request on the links of one entry.
 *
 * @param call the entry's number for the request, never reused by that entry
 * @param attempt the number of the attempt, from 1
 * @since 0.1
 */
public record StreamId(long call, int attempt) {

}
