package dev.laneworks.core.document;

import java.time.Duration;
import java.util.function.Function;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link DocumentReader} and {@link DocumentObject}.
 */
class DocumentReaderTests {

	@Test
	void reportsAllFaultsInTheOrderOfTheLines() {
		String text = "{\n\"instanse\": \"a\",\n\"port\": 99999,\n\"wait\": \"soon\",\n\"store\": 5\n}";
		String message = DocumentReader.read("f", text, (o) -> {
			o.text("instance");
			o.integer("port", 1, 65_535);
			o.duration("wait", Duration.ZERO, Duration.ofSeconds(5), Duration.ZERO);
			o.object("store").text("address");
			return o.invalid("instance", "is reported once", "?");
		}).getLeft().getMessage();
		assertThat(message.lines().map((l) -> l.split(" ")[1]).toList())
			.containsExactly("instance:", "instanse:", "port:", "wait:", "store:")
			.inOrder();
		assertThat(message).contains("f:2: instanse: is unknown; allowed here: instance, port, wait, store");
	}

	@Test
	void doesNotReportAFaultCausedByAPlaceholder() {
		String message = DocumentReader.read("f", "{}", (o) -> {
			String name = o.text("name");
			throw o.invalid("name", name + " is not known");
		}).getLeft().getMessage();
		assertThat(message).isEqualTo("f:1: name: is missing; it must be a string");
	}

	@Test
	void readsCommentsAndTrailingCommas() {
		String text = "// a comment\n{\"a\": 1, /* another */ \"b\": \"two\",}";
		String read = DocumentReader.read("file", text, (o) -> o.integer("a", 0, 9) + o.text("b")).get();
		assertThat(read).isEqualTo("1two");
	}

	@Test
	void reportsAnUnknownSettingWithItsLineAndTheAllowedOnes() {
		String message = fault("{\n  \"a\": 1,\n  \"aa\": 2\n}", (o) -> o.integer("a", 0, 9));
		assertThat(message).isEqualTo("file:3: aa: is unknown; allowed here: a");
	}

	@Test
	void reportsAWrongTypeWithItsLine() {
		String message = fault("{\n\n\"a\": \"x\"}", (o) -> o.integer("a", 0, 9));
		assertThat(message).isEqualTo("file:3: a: must be a whole number from 0 to 9 but is the string \"x\"");
	}

	@Test
	void reportsANumberOutOfRange() {
		assertThat(fault("{\"a\": 10}", (o) -> o.integer("a", 0, 9))).contains("from 0 to 9 but is the number 10");
	}

	@Test
	void reportsAnInvalidUnit() {
		String message = fault("{\"o\": {\"wait\": \"5 sec\"}}",
				(o) -> o.object("o").duration("wait", Duration.ZERO, Duration.ofHours(1), Duration.ZERO));
		assertThat(message).contains("file:1: o.wait: must be a duration from 0s to 3600s");
	}

	@Test
	void reportsADuplicateSetting() {
		assertThat(fault("{\"a\": 1,\n\"a\": 2}", (o) -> o.integer("a", 0, 9))).isEqualTo("file:2: a: is given twice");
	}

	@Test
	void reportsTheLineOfMalformedJson() {
		assertThat(fault("{\n\"a\": }", (o) -> o.integer("a", 0, 9))).startsWith("file:2: document: is not JSON");
	}

	@Test
	void reportsAMissingSetting() {
		assertThat(fault("{}", (o) -> o.text("a"))).isEqualTo("file:1: a: is missing; it must be a string");
	}

	@Test
	void rejectsAnEmptyDocument() {
		assertThat(fault("", (o) -> 1)).contains("is empty");
	}

	private static String fault(String text, Function<DocumentObject, Object> mapping) {
		return DocumentReader.read("file", text, mapping).getLeft().getMessage();
	}

}
