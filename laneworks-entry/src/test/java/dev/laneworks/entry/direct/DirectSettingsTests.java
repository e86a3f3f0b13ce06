package dev.laneworks.entry.direct;

import dev.laneworks.core.document.DocumentReader;
import dev.laneworks.core.mechanism.Mechanism;
import dev.laneworks.core.mechanism.Mechanisms;
import dev.laneworks.core.waiting.WaitingOrder;
import dev.laneworks.core.waiting.WaitingSettings;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for the reload rule, the mechanism labels and the ingress settings of
 * {@link DirectSettings}.
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
		assertThat(this.settings.waiting()).isEmpty();
		assertThat(read(text).waiting().get().accountShares()).isTrue();
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

	@Test
	void readsQueueForEngineMemoryOnlyIfPresent() {
		assertThat(this.settings.waiting()).isEmpty();
		assertThat(read(TEXT.replace("8 }", "8, \"waiting\": {} }")).waiting())
			.hasValue(new WaitingSettings(3_000, WaitingOrder.LEAST_SLACK, 512, false));
		String text = TEXT.replace("8 }",
				"""
						8, "waiting": { "minGoalMillis": 2500, "order": "shortest-first", "maxQueued": 9, "accountShares": true } }
						""");
		assertThat(read(text).waiting()).hasValue(new WaitingSettings(2_500, WaitingOrder.SHORTEST_FIRST, 9, true));
	}

	@Test
	void rejectsInvalidQueueSettingsWithTheirLine() {
		assertInvalidQueue("\"order\": \"first\"", "waiting.order: must be one of least-slack, shortest-first");
		assertInvalidQueue("\"maxQueued\": 0", "waiting.maxQueued: must be a whole number from 1 to 100000");
		assertInvalidQueue("\"minGoalMillis\": -1", "waiting.minGoalMillis: must be a whole number from 1 to 600000");
		assertInvalidQueue("\"size\": 3", "waiting.size: is unknown");
	}

	private static void assertInvalidQueue(String member, String problem) {
		String text = TEXT.replace("8 }", "8,\n\"waiting\": { " + member + " } }");
		assertThat(DocumentReader.read("test", text, DirectSettings::read).getLeft()).hasMessageThat()
			.contains("test:4: " + problem);
	}

	@Test
	void readsIngressOnlyIfPresentAndRejectsInvalidShare() {
		assertThat(this.settings.maxDelayShare().isPresent()).isFalse();
		String valid = TEXT.replace("8 }", "8, \"ingress\": { \"maxDelayShare\": 0.5 } }");
		assertThat(read(valid).maxDelayShare().getAsDouble()).isEqualTo(0.5);
		assertThat(read(valid).equalsExceptRetryBounds(this.settings)).isFalse();
		assertThat(DocumentReader.read("test", valid.replace("0.5", "0"), DirectSettings::read).getLeft())
			.hasMessageThat()
			.contains("test:3: ingress.maxDelayShare: must be a number from 0.01 to 1");
	}

	private static DirectSettings read(String text) {
		return DocumentReader.read("test", text, DirectSettings::read).get();
	}

}
