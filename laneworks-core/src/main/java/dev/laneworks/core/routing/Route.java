package dev.laneworks.core.routing;

import dev.laneworks.core.configuration.TargetDescription;

/**
 * Target selected for a request.
 *
 * @param target the selected target
 * @param reason the reason for the selection, for operators
 * @since 0.1
 */
public record Route(TargetDescription target, String reason) {

}
