package dev.laneworks.core.dispatch;

/**
 * Load that a target reports with a response.
 *
 * @param running the number of running requests
 * @param waiting the number of queued requests
 * @param slots the maximum number of concurrent requests
 * @since 0.2
 */
public record TargetLoad(int running, int waiting, int slots) {

}
