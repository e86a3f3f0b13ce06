package dev.laneworks.runtime.http;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.xnio.XnioExecutor;

/**
 * Makes calls that end with an answer or at a time limit, whichever is first.
 * <p>
 * The receiver hears of each call once. A call that is given up may still be carried out
 * by the server. Thread-safe.
 *
 * @since 0.2
 */
public final class BoundedCalls {

	private final HttpCaller caller;

	private final XnioExecutor timer;

	/**
	 * Create a caller with time limits.
	 * @param caller makes the calls
	 * @param timer ends those that are not answered in time
	 */
	public BoundedCalls(HttpCaller caller, XnioExecutor timer) {
		this.caller = caller;
		this.timer = timer;
	}

	/**
	 * Make a call.
	 * @param call the call
	 * @param maxBytes the longest body that is taken, in bytes
	 * @param limit how long the answer may take
	 * @param receiver takes the whole answer, or why there is none
	 */
	public void call(HttpCall call, int maxBytes, Duration limit,
			Consumer<Either<IOException, WholeResponse.Received>> receiver) {
		AtomicBoolean over = new AtomicBoolean();
		HttpExchange exchange = this.caller.call(call, new WholeResponse(maxBytes, (r) -> {
			if (over.compareAndSet(false, true)) {
				receiver.accept(r);
			}
		}));
		this.timer.executeAfter(() -> {
			if (over.compareAndSet(false, true)) {
				exchange.abandon();
				receiver.accept(Either
					.left(new IOException(call.server() + " did not answer within " + limit.toMillis() + " ms")));
			}
		}, limit.toMillis(), TimeUnit.MILLISECONDS);
	}

}
