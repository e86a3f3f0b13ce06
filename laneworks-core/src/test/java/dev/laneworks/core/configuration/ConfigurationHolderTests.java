package dev.laneworks.core.configuration;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link ConfigurationHolder}.
 */
class ConfigurationHolderTests {

	private final ConfigurationHolder holder = new ConfigurationHolder();

	@Test
	void ignoresAnOlderVersion() {
		assertThat(offer("{\"version\": 5}")).isEqualTo(ConfigurationHolder.Outcome.ACCEPTED);
		assertThat(offer("{\"version\": 4}")).isEqualTo(ConfigurationHolder.Outcome.OLDER);
		assertThat(this.holder.version()).isEqualTo(5);
	}

	@Test
	void keepsTheFirstOfTwoDocumentsWithTheSameVersion() {
		offer("{\"version\": 5}");
		assertThat(offer("{\"version\": 5, \"targets\": []}")).isEqualTo(ConfigurationHolder.Outcome.CONFLICT);
		assertThat(this.holder.text().orElseThrow()).isEqualTo("{\"version\": 5}");
	}

	@Test
	void keepsTheCurrentDocumentWhenAnInvalidOneArrives() {
		offer("{\"version\": 5}");
		assertThat(this.holder.offer("service", "{\"version\": 6, \"x\": 1}", 0).isLeft()).isTrue();
		assertThat(this.holder.version()).isEqualTo(5);
	}

	@Test
	void countsTheAgeOfAConfirmationFromTheServicesReport() {
		offer("{\"version\": 5}");
		assertThat(this.holder.confirmedAgeMillis(1_000)).isEqualTo(ConfigurationHolder.NEVER_CONFIRMED);
		this.holder.confirm(5, 300, 1_000);
		assertThat(this.holder.confirmedAgeMillis(1_500)).isEqualTo(800);
		this.holder.confirm(5, 900, 1_500);
		assertThat(this.holder.confirmedAgeMillis(1_500)).isEqualTo(800);
	}

	@Test
	void isNotConfirmedByAnOlderVersion() {
		offer("{\"version\": 5}");
		this.holder.confirm(4, 0, 1_000);
		assertThat(this.holder.confirmedAgeMillis(1_000)).isEqualTo(ConfigurationHolder.NEVER_CONFIRMED);
	}

	private ConfigurationHolder.Outcome offer(String document) {
		return this.holder.offer("service", document, 0).get();
	}

}
