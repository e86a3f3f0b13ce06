package dev.laneworks.core.configuration;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link ConfigurationParser}.
 */
class ConfigurationParserTests {

	private static final String TARGET = "{\"name\": \"t1\", \"dataCentre\": \"d1\", \"address\": \"10.0.0.1:7400\", "
			+ "\"serves\": [\"m1\"]}";

	@Test
	void prefersTheIntentOfAnAccountOverTheOneForAny() {
		String digest = "0".repeat(64);
		FleetConfiguration configuration = ConfigurationParser
			.parse("file",
					"{\"version\": 3, \"targets\": [" + TARGET + "], \"accounts\": [{\"name\": \"a\", \"keyDigest\": \""
							+ digest + "\"}], \"intents\": [{\"model\": \"m1\", \"priority\": 1}, "
							+ "{\"account\": \"a\", \"model\": \"m1\", \"priority\": 5}]}")
			.get();
		assertThat(configuration.version()).isEqualTo(3);
		assertThat(configuration.intent("a", "m1").orElseThrow().priority()).isEqualTo(5);
		assertThat(configuration.intent("b", "m1").orElseThrow().priority()).isEqualTo(1);
		assertThat(configuration.intent("b", "m2").isEmpty()).isTrue();
		assertThat(configuration.accountByDigest(digest).orElseThrow().name()).isEqualTo("a");
	}

	@Test
	void tellsAnEmptyListOfDataCentresFromAMissingOne() {
		assertThat(dataCentres("")).isEqualTo(Optional.empty());
		assertThat(dataCentres(", \"dataCentres\": []")).isEqualTo(Optional.of(List.of()));
		assertThat(dataCentres(", \"dataCentres\": [\"d1\"]")).isEqualTo(Optional.of(List.of("d1")));
	}

	private static Optional<List<String>> dataCentres(String member) {
		return ConfigurationParser
			.parse("file",
					"{\"version\": 1, \"targets\": [" + TARGET + "], \"intents\": [{\"model\": \"m1\"" + member + "}]}")
			.get()
			.intent("a", "m1")
			.orElseThrow()
			.dataCentres();
	}

	@Test
	void rejectsADuplicateTarget() {
		assertThat(fault("{\"version\": 1, \"targets\": [" + TARGET + ",\n" + TARGET + "]}"))
			.isEqualTo("file:2: targets[1].name: \"t1\" is given twice");
	}

	@Test
	void rejectsAnIntentForAModelThatNoTargetServes() {
		assertThat(fault("{\"version\": 1, \"targets\": [" + TARGET + "],\n\"intents\": [{\"model\": \"m9\"}]}"))
			.isEqualTo("file:2: intents[0].model: names \"m9\", which no target serves");
	}

	@Test
	void rejectsAHostName() {
		assertThat(fault("{\"version\": 1, \"targets\": [" + TARGET.replace("10.0.0.1", "example") + "]}"))
			.contains("targets[0].address: must be an IP number and a port");
	}

	@Test
	void rejectsAVersionBelowOne() {
		assertThat(fault("{\"version\": 0}")).contains("version: must be a whole number from 1");
	}

	@Test
	void rejectsAnUnknownSpillRule() {
		assertThat(fault("{\"version\": 1, \"targets\": [" + TARGET
				+ "], \"intents\": [{\"model\": \"m1\", \"spill\": \"all\"}]}"))
			.contains("must be one of none, region, any but is the string \"all\"");
	}

	private static String fault(String document) {
		return ConfigurationParser.parse("file", document).getLeft().getMessage();
	}

}
