package dev.laneworks.core.stream;

import java.nio.charset.StandardCharsets;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests for {@link TokenSigner}. They guard against the acceptance of forged or modified
 * tokens.
 */
class TokenSignerTests {

	private static final byte[] SECRET = "sixteen bytes at least".getBytes(StandardCharsets.UTF_8);

	private final TokenSigner signer = new TokenSigner(SECRET);

	@Property(seed = "1", tries = 200)
	void decodesAnEncodedPosition(@ForAll @AlphaChars @StringLength(min = 1, max = 40) String name,
			@ForAll long incarnation, @ForAll @LongRange(min = 0) long offset) {
		StreamPosition position = new StreamPosition(name, incarnation, "g-" + name, "account", offset);
		assertThat(this.signer.verifyPosition(this.signer.signPosition(position)).orElseThrow()).isEqualTo(position);
	}

	@Property(seed = "2", tries = 200)
	void rejectsAModifiedToken(@ForAll @IntRange(max = 80) int at) {
		String token = this.signer.signPosition(new StreamPosition("t1", 7, "generation", "account", 5));
		int index = at % token.length();
		char replacement = (token.charAt(index) != 'A') ? 'A' : 'B';
		String modified = token.substring(0, index) + replacement + token.substring(index + 1);
		var decoded = this.signer.verifyPosition(modified);
		// The last character of Base64 may contain unused bits.
		assertThat(decoded.isEmpty() || index == token.length() - 1).isTrue();
	}

	@Test
	void rejectsATicketAsAPosition() {
		String ticket = this.signer.signTicket(new RequestTicket("t1", 7, "account", "identity"));
		assertThat(this.signer.verifyPosition(ticket).isEmpty()).isTrue();
		assertThat(this.signer.verifyTicket(ticket).orElseThrow().identity()).isEqualTo("identity");
	}

	@Test
	void rejectsATokenOfAnotherSecret() {
		TokenSigner other = new TokenSigner("another secret of some length".getBytes(StandardCharsets.UTF_8));
		String ticket = other.signTicket(new RequestTicket("t1", 7, "account", "identity"));
		assertThat(this.signer.verifyTicket(ticket).isEmpty()).isTrue();
	}

	@Test
	void rejectsAShortSecret() {
		IllegalArgumentException exception = assertThrows(IllegalArgumentException.class,
				() -> new TokenSigner(new byte[15]));
		assertThat(exception).hasMessageThat().contains("at least 16 bytes but has 15");
	}

}
