package dev.laneworks.wire;

import java.time.Duration;

/**
 * Limits and timeouts of links.
 *
 * @param maxFrameBytes the largest frame accepted, in bytes
 * @param silence the time without received data after which a link is closed
 * @param probeGap the time without received data after which the peer is probed; shorter
 * than {@code silence}
 * @param connectTimeout the timeout for establishing a connection
 * @param reconnectFirst the delay before the first reconnection attempt
 * @param reconnectMax the longest delay before a reconnection attempt
 * @param idle the time after which an unused link that is not persistent is closed
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
	 * Return the default settings, which suit links within one region.
	 * @return the default limits and timeouts
	 */
	public static LinkSettings defaults() {
		return new LinkSettings(8 << 20, Duration.ofSeconds(7), Duration.ofSeconds(4), Duration.ofSeconds(1),
				Duration.ofMillis(100), Duration.ofSeconds(2), Duration.ofMinutes(1));
	}

}
