package dev.laneworks.core.configuration;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link ConfigurationLedger}.
 */
class ConfigurationLedgerTests {

	private final ConfigurationLedger ledger = new ConfigurationLedger();

	@Test
	void ignoresAnOlderVersion() {
		assertThat(offer("{\"version\": 5}")).isEqualTo(ConfigurationLedger.Outcome.ACCEPTED);
		assertThat(offer("{\"version\": 4}")).isEqualTo(ConfigurationLedger.Outcome.OLDER);
		assertThat(this.ledger.version()).isEqualTo(5);
	}

	@Test
	void keepsTheFirstOfTwoDocumentsWithTheSameVersion() {
		offer("{\"version\": 5}");
		assertThat(offer("{\"version\": 5, \"targets\": []}")).isEqualTo(ConfigurationLedger.Outcome.CONFLICT);
		assertThat(this.ledger.text().orElseThrow()).isEqualTo("{\"version\": 5}");
	}

	@Test
	void keepsTheCurrentDocumentWhenAnInvalidOneArrives() {
		offer("{\"version\": 5}");
		assertThat(this.ledger.offer("service", "{\"version\": 6, \"x\": 1}", 0).isLeft()).isTrue();
		assertThat(this.ledger.version()).isEqualTo(5);
	}

	@Test
	void countsTheAgeOfAConfirmationFromTheServicesReport() {
		offer("{\"version\": 5}");
		assertThat(this.ledger.confirmedAgeMillis(1_000)).isEqualTo(ConfigurationLedger.NEVER_CONFIRMED);
		this.ledger.confirm(5, 300, 1_000);
		assertThat(this.ledger.confirmedAgeMillis(1_500)).isEqualTo(800);
		this.ledger.confirm(5, 900, 1_500);
		assertThat(this.ledger.confirmedAgeMillis(1_500)).isEqualTo(800);
	}

	@Test
	void isNotConfirmedByAnOlderVersion() {
		offer("{\"version\": 5}");
		this.ledger.confirm(4, 0, 1_000);
		assertThat(this.ledger.confirmedAgeMillis(1_000)).isEqualTo(ConfigurationLedger.NEVER_CONFIRMED);
	}

	private ConfigurationLedger.Outcome offer(String document) {
		return this.ledger.offer("service", document, 0).get();
	}

}
