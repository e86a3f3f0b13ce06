package dev.laneworks.entry.direct;

import dev.laneworks.core.document.DocumentReader;
import dev.laneworks.core.mechanism.Mechanism;
import dev.laneworks.core.mechanism.Mechanisms;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for the reload rule and the mechanism labels of {@link DirectSettings}.
 */
class DirectSettingsTests {

	private static final String TEXT = """
			{ "instance": "e1", "dataCentre": "z", "callers": "10.0.0.1:80", "readiness": "10.0.0.1:81",
			"operators": "10.0.0.1:82", "news": "10.0.0.1:83", "seeds": [], "store": { "address": "10.0.0.9:90" },
			"retries": { "ratio": 0.2, "extra": 50 }, "graceSeconds": 8 }
			""";

	private final DirectSettings settings = read(TEXT);

	@Test
	void allowsRetryBoundsToChangeWithoutRestart() {
		DirectSettings changed = read(TEXT.replace("0.2", "0.1").replace("50", "60"));
		assertThat(changed.equalsExceptRetryBounds(this.settings)).isTrue();
		assertThat(changed).isNotEqualTo(this.settings);
	}

	@Test
	void detectsChangesThatNeedARestart() {
		assertThat(read(TEXT.replace(":81", ":91")).equalsExceptRetryBounds(this.settings)).isFalse();
		assertThat(read(TEXT.replace(":83", ":93")).equalsExceptRetryBounds(this.settings)).isFalse();
		assertThat(read(TEXT.replace("8 }", "9 }")).equalsExceptRetryBounds(this.settings)).isFalse();
	}

	@Test
	void switchesMechanismsOffByLabel() {
		DirectSettings without = read(TEXT.replace("8 }", "8, \"off\": [\"entry-news\", \"ejection\"] }"));
		assertThat(without.mechanisms().isEnabled(Mechanism.ENTRY_NEWS)).isFalse();
		assertThat(without.mechanisms().isEnabled(Mechanism.EJECTION)).isFalse();
		assertThat(without.mechanisms().isEnabled(Mechanism.COPY_TURNS)).isTrue();
		assertThat(this.settings.mechanisms()).isEqualTo(Mechanisms.all());
	}

	@Test
	void sharesMemoryAmongAccountsOnlyIfAsked() {
		String text = TEXT.replace("8 }", "8, \"waiting\": { \"accountShares\": true } }");
		assertThat(this.settings.accountShares()).isFalse();
		assertThat(read(text).accountShares()).isTrue();
		assertThat(read(text).equalsExceptRetryBounds(this.settings)).isFalse();
		assertThat(DocumentReader.read("test", text.replace("true", "1"), DirectSettings::read).getLeft())
			.hasMessageThat()
			.contains("waiting.accountShares");
	}

	@Test
	void rejectsUnknownMechanism() {
		String text = TEXT.replace("8 }", "8, \"off\": [\"wings\"] }");
		assertThat(DocumentReader.read("test", text, DirectSettings::read).getLeft()).hasMessageThat()
			.contains("names the unknown mechanism wings");
	}

	private static DirectSettings read(String text) {
		return DocumentReader.read("test", text, DirectSettings::read).get();
	}

}
