package dev.laneworks.core.dispatch;

/**
 * What a target tells of its load beside an answer.
 *
 * @param running the requests that run
 * @param waiting the requests that wait
 * @param slots the requests that it can run at once
 * @since 0.2
 */
public record TargetLoad(int running, int waiting, int slots) {

}
