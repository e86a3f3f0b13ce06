package dev.laneworks.bench.path;

import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import dev.laneworks.standin.client.StreamClient;
import dev.laneworks.standin.client.StreamResult;
import org.HdrHistogram.Histogram;

/**
 * Load of concurrent callers that each read one stream after another, with the latencies
 * they observe.
 */
final class LoadRun {

	private static final long MAX_MICROS = TimeUnit.MINUTES.toMicros(1);

	private static final int SIGNIFICANT_DIGITS = 3;

	private final URI uri;

	private final String key;

	private final String body;

	private final Histogram firstToken = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);

	private final Histogram tokenInterval = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);

	private final AtomicInteger failed = new AtomicInteger();

	private long tokens;

	private double seconds;

	LoadRun(URI uri, String key, String body) {
		this.uri = uri;
		this.key = key;
		this.body = body;
	}

	LoadRun run(int streams, int requestsEach) throws InterruptedException {
		CountDownLatch done = new CountDownLatch(streams);
		List<Thread> threads = new ArrayList<>();
		long start = System.nanoTime();
		for (int i = 0; i < streams; i++) {
			Thread thread = new Thread(() -> {
				sendRequests(requestsEach);
				done.countDown();
			}, "caller-" + i);
			thread.setDaemon(true);
			threads.add(thread);
		}
		// Staggers the starts, so that the streams are not synchronized.
		for (Thread thread : threads) {
			thread.start();
			Thread.sleep(1);
		}
		done.await();
		this.seconds = (System.nanoTime() - start) / 1e9;
		return this;
	}

	Histogram firstToken() {
		return this.firstToken;
	}

	Histogram tokenInterval() {
		return this.tokenInterval;
	}

	long tokens() {
		return this.tokens;
	}

	double tokensPerSecond() {
		return this.tokens / this.seconds;
	}

	double seconds() {
		return this.seconds;
	}

	int failed() {
		return this.failed.get();
	}

	private void sendRequests(int requests) {
		StreamClient client = new StreamClient(this.key);
		for (int i = 0; i < requests; i++) {
			try {
				record(client.stream(this.uri, this.body, (t) -> {
				}));
			}
			catch (IOException ex) {
				this.failed.incrementAndGet();
			}
		}
	}

	private synchronized void record(StreamResult result) {
		long[] nanos = result.tokenNanos();
		if (nanos.length == 0) {
			this.failed.incrementAndGet();
			return;
		}
		this.tokens += nanos.length;
		this.firstToken.recordValue(micros(nanos[0] - result.startNanos()));
		for (int i = 1; i < nanos.length; i++) {
			this.tokenInterval.recordValue(micros(nanos[i] - nanos[i - 1]));
		}
	}

	private static long micros(long nanos) {
		return Math.min(MAX_MICROS, Math.max(0, nanos / 1_000));
	}

}
