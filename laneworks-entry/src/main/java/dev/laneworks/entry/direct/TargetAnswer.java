package dev.laneworks.entry.direct;

import dev.laneworks.runtime.http.HttpResponseHead;

/**
 * Answer of a target, passed on unchanged.
 *
 * @param head the status and the headers
 * @param body the body; for a stream, the bytes before its first event
 */
record TargetAnswer(HttpResponseHead head, byte[] body) {

}
