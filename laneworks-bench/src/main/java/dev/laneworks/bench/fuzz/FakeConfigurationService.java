package dev.laneworks.bench.fuzz;

import java.io.IOException;
import java.util.function.Consumer;

import dev.laneworks.core.peer.ConfigurationService;
import dev.laneworks.core.peer.PublishedDocument;
import io.vavr.control.Either;

/**
 * Configuration service that can be unavailable or return stale documents.
 */
final class FakeConfigurationService implements ConfigurationService {

	private static final long WATCH_MILLIS = 2_000;

	private static final long POLL_INTERVAL_MILLIS = 50;

	private static final long ANSWER_DELAY_MILLIS = 3;

	private final VirtualTime time;

	private String text = "";

	private long version;

	private String staleText = "";

	private long staleVersion;

	private long downUntil;

	private long staleUntil;

	FakeConfigurationService(VirtualTime time) {
		this.time = time;
	}

	void publish(long newVersion, String document) {
		this.version = newVersion;
		this.text = document;
	}

	void startOutage(long millis) {
		this.downUntil = this.time.now() + millis;
	}

	void startStalePeriod(long millis) {
		if (this.time.now() >= this.staleUntil) {
			this.staleText = this.text;
			this.staleVersion = this.version;
		}
		this.staleUntil = this.time.now() + millis;
	}

	@Override
	public void watch(long afterVersion, Consumer<Either<IOException, PublishedDocument>> receiver) {
		poll(afterVersion, this.time.now() + WATCH_MILLIS, receiver);
	}

	private void poll(long after, long until, Consumer<Either<IOException, PublishedDocument>> receiver) {
		if (this.time.now() < this.downUntil) {
			answer(receiver, Either.left(new IOException("the configuration service is unavailable")));
			return;
		}
		boolean stale = this.time.now() < this.staleUntil;
		long currentVersion = stale ? this.staleVersion : this.version;
		if (currentVersion > after) {
			answer(receiver, Either.right(new PublishedDocument(currentVersion, stale ? this.staleText : this.text)));
		}
		else if (this.time.now() >= until) {
			answer(receiver, Either.right(new PublishedDocument(currentVersion, "")));
		}
		else {
			this.time.schedule(POLL_INTERVAL_MILLIS, () -> poll(after, until, receiver));
		}
	}

	private void answer(Consumer<Either<IOException, PublishedDocument>> receiver,
			Either<IOException, PublishedDocument> answer) {
		this.time.schedule(ANSWER_DELAY_MILLIS, () -> receiver.accept(answer));
	}

}
