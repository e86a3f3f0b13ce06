package dev.laneworks.entry.caller;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import dev.laneworks.core.message.FinishReason;
import dev.laneworks.core.stream.StreamPosition;
import dev.laneworks.core.stream.TokenSigner;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.runtime.http.EventStream;
import io.undertow.server.HttpServerExchange;
import org.xnio.IoUtils;

/**
 * Response that streams output to a caller as server-sent events.
 * <p>
 * The HTTP response starts with the first chunk of output, so that a request that is
 * refused earlier gets a problem document with its own status. The id of each event is
 * the position after it, for use in {@code Last-Event-ID}. A stream that ends early ends
 * with an event whose data has the member {@code error}; only a complete one ends with
 * {@code [DONE]}.
 */
final class StreamedResponse implements CallerResponse {

	private static final String DONE = "[DONE]";

	private static final int TOKENS_PER_CONSUMED_REPORT = 8;

	private final HttpServerExchange exchange;

	private final CompletionJson json;

	private final TokenSigner signer;

	private final CallLatencyMetrics.Stopwatch stopwatch;

	private final long stalledTimeoutMillis;

	private final Consumer<Long> onConsumed;

	private final Runnable onDisconnect;

	private final List<Consumer<EventStream>> pendingActions = new ArrayList<>();

	private StreamPosition start;

	/** The first offset that is not yet submitted to the connection. */
	private volatile long submittedOffset;

	/**
	 * The first offset that the connection has not yet written; accessed only on its I/O
	 * thread.
	 */
	private long writtenOffset;

	private boolean opening;

	private EventStream stream;

	/**
	 * Whether the response has ended. Volatile and read without the lock of this object:
	 * a closing stream holds its own lock, which a delivery acquires while it holds this
	 * object's, so locking here could deadlock.
	 */
	private volatile boolean ended;

	StreamedResponse(HttpServerExchange exchange, CompletionJson json, TokenSigner signer,
			CallLatencyMetrics.Stopwatch stopwatch, Duration stalledTimeout, Consumer<Long> onConsumed,
			Runnable onDisconnect) {
		this.exchange = exchange;
		this.json = json;
		this.signer = signer;
		this.stopwatch = stopwatch;
		this.stalledTimeoutMillis = stalledTimeout.toMillis();
		this.onConsumed = onConsumed;
		this.onDisconnect = onDisconnect;
	}

	@Override
	public void accepted(StreamPosition position, String route) {
		this.start = position;
		ResponseHeaders.put(this.exchange, position, route);
	}

	@Override
	public void deliver(long offset, byte[] data) {
		this.stopwatch.recordToken();
		String event = this.json.chunk(offset, data);
		String id = this.signer.signPosition(new StreamPosition(this.start.target(), this.start.incarnation(),
				this.start.generation(), this.start.account(), offset + 1));
		this.submittedOffset = offset + 1;
		emit((s) -> s.send(id, event, () -> onWritten(offset + 1)));
	}

	@Override
	public void finish(long total, FinishReason reason) {
		this.stopwatch.recordEnd();
		emit((s) -> {
			s.send(this.json.last(total, reason));
			s.send(DONE);
			s.end();
		});
		setEnded();
	}

	@Override
	public void refuse(Refusal refusal) {
		this.stopwatch.recordEnd();
		setEnded();
		if (!isOpening()) {
			ProblemResponse.send(this.exchange, refusal);
			return;
		}
		String event = "{\"error\":" + ProblemResponse.json(refusal) + '}';
		emit((s) -> {
			s.send(event);
			s.end();
		});
	}

	// Reported only every few tokens, since each report wakes the duty.
	private void onWritten(long offset) {
		this.writtenOffset = offset;
		if (offset % TOKENS_PER_CONSUMED_REPORT == 0) {
			this.onConsumed.accept(offset);
		}
	}

	private void emit(Consumer<EventStream> action) {
		boolean open;
		synchronized (this) {
			if (this.stream == null) {
				this.pendingActions.add(action);
				open = !this.opening;
				this.opening = true;
			}
			else {
				action.accept(this.stream);
				open = false;
			}
		}
		if (open) {
			EventStream.open(this.exchange, this::opened);
		}
	}

	private void opened(EventStream opened) {
		opened.onClose(() -> {
			if (!hasEnded()) {
				this.onDisconnect.run();
			}
		});
		watchProgress(opened, -1);
		synchronized (this) {
			this.stream = opened;
			this.pendingActions.forEach((a) -> a.accept(opened));
			this.pendingActions.clear();
		}
	}

	// Closes the connection of a caller that has read none of its pending output since
	// the previous check.
	private void watchProgress(EventStream opened, long previousOffset) {
		this.exchange.getIoThread().executeAfter(() -> {
			if (hasEnded() || this.exchange.isComplete()) {
				return;
			}
			if (this.writtenOffset == previousOffset && this.writtenOffset < this.submittedOffset) {
				opened.end();
				IoUtils.safeClose(this.exchange.getConnection());
				return;
			}
			watchProgress(opened, this.writtenOffset);
		}, this.stalledTimeoutMillis, TimeUnit.MILLISECONDS);
	}

	private synchronized boolean isOpening() {
		return this.opening;
	}

	private boolean hasEnded() {
		return this.ended;
	}

	private void setEnded() {
		this.ended = true;
	}

}
