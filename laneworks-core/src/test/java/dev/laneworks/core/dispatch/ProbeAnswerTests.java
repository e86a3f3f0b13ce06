package dev.laneworks.core.dispatch;

import java.util.Optional;
import java.util.OptionalLong;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.dispatch.ProbeAnswer.Connection;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests what the answer of a process proves about the process that served an attempt.
 */
class ProbeAnswerTests {

	private static final ListedTarget TARGET = new ListedTarget("a", "s", "127.0.0.1", 80, "z", 1, false);

	// Guards against a crashed target whose address or id another process has taken over.
	@ParameterizedTest(name = "connection {0}, id {1}, listed start time: {2}, replaced: {3}")
	@CsvSource({ "EARLIER,a,false,false,SAME", "EARLIER,a,true,false,SAME", "EARLIER,a,true,true,SAME",
			"EARLIER,,false,false,SAME", "EARLIER,b,false,false,OTHER", "NEW,a,false,false,SAME",
			"NEW,a,true,false,SAME", "NEW,a,true,true,OTHER", "NEW,,false,false,UNKNOWN", "NEW,,true,true,OTHER",
			"NEW,b,false,false,OTHER", "NEW_AFTER_LOSS,a,false,false,SAME", "NEW_AFTER_LOSS,a,true,false,UNKNOWN",
			"NEW_AFTER_LOSS,a,true,true,OTHER", "NEW_AFTER_LOSS,,false,false,UNKNOWN",
			"NEW_AFTER_LOSS,b,true,false,OTHER" })
	void identityFollowsFromTheConnectionTheIdAndTheList(Connection connection, String id, boolean hasStartTime,
			boolean isReplaced, ProcessIdentity expected) {
		ListedTarget target = hasStartTime ? TARGET.withStartMillis(OptionalLong.of(5)) : TARGET;
		ProbeAnswer answer = new ProbeAnswer(connection, Optional.ofNullable(id), false);
		assertThat(answer.identify(target, isReplaced)).isEqualTo(expected);
	}

	@Test
	void misdirectedRequestReachedAnotherProcess() {
		for (Connection connection : Connection.values()) {
			assertThat(new ProbeAnswer(connection, Optional.empty(), true).identify(TARGET, false))
				.isEqualTo(ProcessIdentity.OTHER);
		}
	}

}
