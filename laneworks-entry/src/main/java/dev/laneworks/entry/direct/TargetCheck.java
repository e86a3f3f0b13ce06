package dev.laneworks.entry.direct;

import java.io.IOException;
import java.net.ConnectException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.Consumer;

import dev.laneworks.runtime.http.HttpRequest;
import dev.laneworks.runtime.http.HttpResponseHead;
import dev.laneworks.runtime.http.HttpResponseListener;

/**
 * Probe that opens a connection to a target without sending a request, to find out
 * whether it accepts connections.
 */
final class TargetCheck implements HttpResponseListener {

	/**
	 * Receives whether the connection was refused; not called if the probe is
	 * inconclusive.
	 */
	private final Consumer<Boolean> refused;

	TargetCheck(Consumer<Boolean> refused) {
		this.refused = refused;
	}

	// Close the established connection without sending a request.
	Optional<HttpRequest> atConnection() {
		this.refused.accept(false);
		return Optional.empty();
	}

	@Override
	public void onConnectFailed(IOException cause) {
		// A timeout is inconclusive: the network path may be interrupted.
		if (cause instanceof ConnectException) {
			this.refused.accept(true);
		}
	}

	@Override
	public void onHead(HttpResponseHead head) {
		// No request was sent.
	}

	@Override
	public void onBody(ByteBuffer data) {
		// No request was sent.
	}

	@Override
	public void onComplete() {
		// No request was sent.
	}

	@Override
	public void onConnectionBroken(IOException cause) {
		// The connection is closed by this side.
	}

}
