package dev.laneworks.core.dispatch;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * Position from which a running generation resumes at another engine.
 *
 * @param source the address of the target that made the copy
 * @param handle the name of the copy at the source
 * @param lastEvent the last event that the caller received, or an empty string for none
 * @since 0.2
 */
public record ResumePoint(String source, String handle, String lastEvent) {

	public ResumePoint {
		Objects.requireNonNull(source, "source must not be null");
		Objects.requireNonNull(handle, "handle must not be null");
		Objects.requireNonNull(lastEvent, "lastEvent must not be null");
	}

	OptionalLong lastEventNumber() {
		return this.lastEvent.isEmpty() ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(this.lastEvent));
	}

}
