package dev.laneworks.core.poison;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link RequestDigest}.
 */
class RequestDigestTests {

	@Test
	void equalRequestsOfOneAccountHaveTheSameDigest() {
		assertThat(digest("acme", "h", "/a/b?q=1", "body")).isEqualTo(digest("acme", "h", "/a/b?q=1", "body"));
	}

	@Test
	void eachPartChangesTheDigest() {
		Set<RequestDigest> all = new HashSet<>();
		for (String account : new String[] { "", "acme", "acne" }) {
			for (String uri : new String[] { "/", "/a", "/a?", "/a?q" }) {
				for (String body : new String[] { "", "a", "/a", "?q" }) {
					all.add(digest(account, "h", uri, body));
					all.add(digest(account, "h2", uri, body));
				}
			}
		}
		assertThat(all).hasSize(3 * 4 * 4 * 2);
	}

	@Test
	void invalidUtf8ChangesTheDigest() {
		assertThat(RequestDigest.of("a", "h", "/", new byte[] { (byte) 0xC3 }))
			.isNotEqualTo(RequestDigest.of("a", "h", "/", new byte[] { (byte) 0xC4 }));
	}

	// Entries compare digests across machines and Java versions.
	@Test
	void isStableAcrossProcesses() {
		assertThat(digest("acme", "h", "/a", "body").label()).isEqualTo("fe72f11ad947a4d4");
	}

	private static RequestDigest digest(String account, String host, String uri, String body) {
		return RequestDigest.of(account, host, uri, body.getBytes(StandardCharsets.UTF_8));
	}

}
