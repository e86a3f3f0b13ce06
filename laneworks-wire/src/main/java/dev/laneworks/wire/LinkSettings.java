package dev.laneworks.wire;

import java.time.Duration;

/**
 * Limits and timeouts of links.
 *
 * @param maxFrameBytes the largest frame accepted, in bytes
 * @param readTimeout the time without received data after which a link is closed
 * @param probeInterval the time without received data after which the peer is probed;
 * shorter than {@code silence}
 * @param connectTimeout the timeout for establishing a connection
 * @param initialReconnectDelay the delay before the first reconnection attempt
 * @param maxReconnectDelay the longest delay before a reconnection attempt
 * @param idleTimeout the time after which an unused link that is not persistent is closed
 * @since 0.1
 */
public record LinkSettings(int maxFrameBytes, Duration readTimeout, Duration probeInterval, Duration connectTimeout,
		Duration initialReconnectDelay, Duration maxReconnectDelay, Duration idleTimeout) {

	public LinkSettings {
		if (maxFrameBytes < 1024) {
			throw new IllegalArgumentException("maxFrameBytes must be at least 1024 but is " + maxFrameBytes);
		}
		if (probeInterval.compareTo(readTimeout) >= 0) {
			throw new IllegalArgumentException(
					"probeGap must be shorter than silence, " + readTimeout + ", but is " + probeInterval);
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
