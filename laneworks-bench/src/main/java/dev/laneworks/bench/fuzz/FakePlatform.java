package dev.laneworks.bench.fuzz;

import java.io.IOException;
import java.util.function.Consumer;

import dev.laneworks.core.peer.ConfigurationService;
import dev.laneworks.core.peer.PublishedDocument;
import io.vavr.control.Either;

/**
 * A configuration service that can be down or stale.
 */
final class FakePlatform implements ConfigurationService {

	private static final long WAIT_MILLIS = 2_000;

	private static final long POLL_MILLIS = 50;

	private static final long ANSWER_MILLIS = 3;

	private final VirtualTime time;

	private String text = "";

	private long version;

	private String staleText = "";

	private long staleVersion;

	private long downUntil;

	private long staleUntil;

	FakePlatform(VirtualTime time) {
		this.time = time;
	}

	void publish(long newVersion, String document) {
		this.version = newVersion;
		this.text = document;
	}

	void goDown(long millis) {
		this.downUntil = this.time.now() + millis;
	}

	void goStale(long millis) {
		if (this.time.now() >= this.staleUntil) {
			this.staleText = this.text;
			this.staleVersion = this.version;
		}
		this.staleUntil = this.time.now() + millis;
	}

	@Override
	public void watch(long afterVersion, Consumer<Either<IOException, PublishedDocument>> receiver) {
		poll(afterVersion, this.time.now() + WAIT_MILLIS, receiver);
	}

	private void poll(long after, long until, Consumer<Either<IOException, PublishedDocument>> receiver) {
		if (this.time.now() < this.downUntil) {
			answer(receiver, Either.left(new IOException("down")));
			return;
		}
		boolean stale = this.time.now() < this.staleUntil;
		long held = stale ? this.staleVersion : this.version;
		if (held > after) {
			answer(receiver, Either.right(new PublishedDocument(held, stale ? this.staleText : this.text)));
		}
		else if (this.time.now() >= until) {
			answer(receiver, Either.right(new PublishedDocument(held, "")));
		}
		else {
			this.time.after(POLL_MILLIS, () -> poll(after, until, receiver));
		}
	}

	private void answer(Consumer<Either<IOException, PublishedDocument>> receiver,
			Either<IOException, PublishedDocument> answer) {
		this.time.after(ANSWER_MILLIS, () -> receiver.accept(answer));
	}

}
