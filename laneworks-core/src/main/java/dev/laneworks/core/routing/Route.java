package dev.laneworks.core.routing;

import dev.laneworks.core.configuration.TargetDescription;

/**
 * A target chosen for a request, and why.
 *
 * @param target the target
 * @param reason why it was chosen, for operators
 * @since 0.1
 */
public record Route(TargetDescription target, String reason) {

}
