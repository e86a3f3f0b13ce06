package dev.laneworks.entry.direct;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.follow.StoreFollower;
import dev.laneworks.core.follow.StorePosition;
import dev.laneworks.core.handover.StateGiver;
import dev.laneworks.core.handover.StatePiece;
import dev.laneworks.core.handover.StateQuestion;
import dev.laneworks.core.handover.StateTaker;
import dev.laneworks.core.handover.StoreState;
import dev.laneworks.wire.StoreItemsForm;

/**
 * Hands the plan and the list of targets over to entries that start while the store is
 * away, and takes them from others at such a start.
 * <p>
 * Without it an entry that starts during an outage serves nobody until its end, though
 * its neighbours know all that it needs. Used on the I/O thread alone.
 */
final class StateHandover {

	private final StoreFollower follower;

	private final StateGiver giver;

	private final StateTaker taker;

	private final EventLoop loop;

	private final AuditSink audit;

	StateHandover(StoreFollower follower, OtherEntries others, EventLoop loop, AuditSink audit) {
		this.follower = follower;
		this.loop = loop;
		this.audit = audit;
		this.giver = new StateGiver(this::known, new StoreItemsForm());
		this.taker = new StateTaker(new StoreItemsForm(), others::possible, others::ask, this::take, loop.timers());
	}

	// Asks others until a state is there, unless the store was read meanwhile.
	void start(long now) {
		if (this.follower.knownRevision().isEmpty()) {
			this.taker.start(now);
		}
	}

	// The store was read: what others know is not needed.
	void stop() {
		this.taker.stop();
	}

	List<StatePiece> answer(StateQuestion question, long now) {
		return this.giver.answer(question, now);
	}

	void received(String from, StatePiece piece, long now) {
		this.taker.received(from, piece, now);
	}

	private Optional<StoreState> known(long now) {
		OptionalLong revision = this.follower.knownRevision();
		if (revision.isEmpty()) {
			return Optional.empty();
		}
		return Optional
			.of(new StoreState(revision.getAsLong(), this.follower.ageMillis(now), this.follower.knownItems()));
	}

	private void take(StateTaker.Taken taken) {
		StoreState state = taken.state();
		this.audit.record(AuditEvent.of(AuditKind.CONFIGURATION_SERVICE, "store", "",
				"out of reach; revision " + StorePosition.of(state.revision()) + " taken from " + taken.from()
						+ ", heard " + state.ageMillis() + " ms before"));
		this.follower.adopt(state.items(), state.revision(), this.loop.now());
	}

}
