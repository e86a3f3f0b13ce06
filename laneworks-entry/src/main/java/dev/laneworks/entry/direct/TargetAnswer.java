package dev.laneworks.entry.direct;

import dev.laneworks.runtime.http.HttpResponseHead;

/**
 * A target's answer as it came, to be passed on unchanged.
 *
 * @param head the head
 * @param body the body; of a stream, what stood in front of its first event
 */
record TargetAnswer(HttpResponseHead head, byte[] body) {

}
