package dev.laneworks.core.dispatch;

import java.util.Objects;

/**
 * Where a running generation goes on from.
 *
 * @param source the address of the target that made the copy
 * @param handle the copy's name there
 * @param lastEvent the last event that the caller was sent, or empty text for none
 * @since 0.2
 */
public record ResumePoint(String source, String handle, String lastEvent) {

	public ResumePoint {
		Objects.requireNonNull(source, "source must not be null");
		Objects.requireNonNull(handle, "handle must not be null");
		Objects.requireNonNull(lastEvent, "lastEvent must not be null");
	}

}
