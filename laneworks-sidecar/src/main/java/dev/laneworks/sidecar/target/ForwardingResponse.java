package dev.laneworks.sidecar.target;

import java.io.IOException;
import java.nio.ByteBuffer;

import dev.laneworks.runtime.http.HttpResponseHead;
import dev.laneworks.runtime.http.HttpResponseListener;
import dev.laneworks.runtime.http.ResponseCollector;
import io.vavr.control.Either;

/**
 * Buffers a response and reports whether the request may have been sent.
 */
abstract class ForwardingResponse implements HttpResponseListener {

	private static final int MAX_BYTES = 4 << 20;

	private final ResponseCollector whole = new ResponseCollector(MAX_BYTES, (r) -> onWhole(r, true));

	abstract void onWhole(Either<IOException, ResponseCollector.Response> received, boolean sent);

	@Override
	public void onConnectFailed(IOException cause) {
		onWhole(Either.left(cause), false);
	}

	@Override
	public void onHead(HttpResponseHead head) {
		this.whole.onHead(head);
	}

	@Override
	public void onBody(ByteBuffer data) {
		this.whole.onBody(data);
	}

	@Override
	public void onComplete() {
		this.whole.onComplete();
	}

	@Override
	public void onConnectionBroken(IOException cause) {
		this.whole.onConnectionBroken(cause);
	}

}
