package dev.laneworks.wire;

import java.time.Duration;

/**
 * The bounds and times of links.
 *
 * @param maxFrameBytes the largest frame accepted, in bytes
 * @param silence how long a peer may send nothing before its link is closed
 * @param probeGap how long a link may be silent before its peer is probed
 * @param connectTimeout how long a connection may take
 * @param reconnectFirst the wait before the first new try
 * @param reconnectMax the greatest wait before a new try
 * @param idle how long a link that is not in steady use is kept
 * @since 0.1
 */
public record LinkSettings(int maxFrameBytes, Duration silence, Duration probeGap, Duration connectTimeout,
		Duration reconnectFirst, Duration reconnectMax, Duration idle) {

	public LinkSettings {
		if (maxFrameBytes < 1024) {
			throw new IllegalArgumentException("maxFrameBytes must be at least 1024 but is " + maxFrameBytes);
		}
		if (probeGap.compareTo(silence) >= 0) {
			throw new IllegalArgumentException(
					"probeGap must be shorter than silence, " + silence + ", but is " + probeGap);
		}
	}

	/**
	 * Return settings that suit links within a region.
	 * @return the settings
	 */
	public static LinkSettings defaults() {
		return new LinkSettings(8 << 20, Duration.ofSeconds(7), Duration.ofSeconds(4), Duration.ofSeconds(1),
				Duration.ofMillis(100), Duration.ofSeconds(2), Duration.ofMinutes(1));
	}

}
