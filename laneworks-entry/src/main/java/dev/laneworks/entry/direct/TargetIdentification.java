package dev.laneworks.entry.direct;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.dispatch.Dispatcher;
import dev.laneworks.core.dispatch.Probe;
import dev.laneworks.core.dispatch.ProbeAnswer;
import dev.laneworks.core.dispatch.ProbeAnswer.Connection;
import dev.laneworks.runtime.http.AsyncHttpClient;
import dev.laneworks.runtime.http.HttpExchange;
import dev.laneworks.runtime.http.HttpRequest;
import dev.laneworks.runtime.http.HttpResponseHead;
import dev.laneworks.runtime.http.HttpResponseListener;
import dev.laneworks.runtime.http.StandbyConnection;

/**
 * Identification of the process that serves an attempt whose answer ends with its
 * connection.
 * <p>
 * A second connection is opened while the answer is received. Only the same process can
 * answer on it after the end. Without it, a new connection is asked. Used on the I/O
 * thread alone.
 */
final class TargetIdentification {

	private final AsyncHttpClient http;

	private final HeaderTranslator translator;

	private final ListedTarget target;

	private final String healthPath;

	private final Dispatcher dispatcher;

	private final EventLoop loop;

	private final List<HttpExchange> exchanges = new ArrayList<>();

	private Optional<StandbyConnection> earlier = Optional.empty();

	private boolean lostEarlier;

	/** Whether a request has no answer yet; a busy process answers late. */
	private boolean isAwaiting;

	private boolean closed;

	TargetIdentification(AsyncHttpClient http, HeaderTranslator translator, ListedTarget target, String healthPath,
			Dispatcher dispatcher, EventLoop loop) {
		this.http = http;
		this.translator = translator;
		this.target = target;
		this.healthPath = healthPath;
		this.dispatcher = dispatcher;
		this.loop = loop;
	}

	// Open the second connection, since an answer without a length has begun.
	void handleAnswerBegun() {
		this.earlier = Optional.of(this.http.open(server()));
	}

	// A connection that is established from now on may be one to another process.
	void handleAnswerEnded() {
		this.earlier.filter((c) -> !c.isEstablished()).ifPresent(StandbyConnection::close);
		this.earlier = this.earlier.filter(StandbyConnection::isEstablished);
	}

	// Ask the process for its identity, unless an earlier request awaits its answer.
	void start(Probe probe) {
		if (this.closed || this.isAwaiting) {
			return;
		}
		this.isAwaiting = true;
		if (this.earlier.isPresent()) {
			StandbyConnection connection = this.earlier.get();
			this.earlier = Optional.empty();
			this.exchanges.add(connection.send(request(), new Query(probe, Connection.EARLIER)));
		}
		else {
			Connection connection = this.lostEarlier ? Connection.NEW_AFTER_LOSS : Connection.NEW;
			this.exchanges.add(this.http.send(request(), new Query(probe, connection)));
		}
	}

	void close() {
		this.closed = true;
		this.earlier.ifPresent(StandbyConnection::close);
		this.exchanges.forEach(HttpExchange::cancel);
		this.exchanges.clear();
	}

	private void handleRefusedConnection(Probe probe) {
		this.loop.begin();
		this.dispatcher.probed(this.target, probe, true, this.loop.now());
		this.loop.runTimers();
	}

	private void handleAnswer(Probe probe, ProbeAnswer answer) {
		this.loop.begin();
		this.dispatcher.identified(this.target, probe, answer, this.loop.now());
		this.loop.runTimers();
	}

	// The process has ended, or it has closed an idle connection.
	private void handleLostConnection(Probe probe) {
		this.lostEarlier = true;
		start(probe);
	}

	private URI server() {
		return URI.create("http://" + this.target.address());
	}

	private HttpRequest request() {
		return new HttpRequest(server(), "GET", this.healthPath, this.translator.identityHeaders(this.target),
				new byte[0]);
	}

	/**
	 * One request for the identity.
	 */
	private final class Query implements HttpResponseListener {

		private final Probe probe;

		private final Connection connection;

		Query(Probe probe, Connection connection) {
			this.probe = probe;
			this.connection = connection;
		}

		@Override
		public void onConnectFailed(IOException cause) {
			TargetIdentification.this.isAwaiting = false;
			// A timeout is inconclusive: the network path may be interrupted.
			if (!TargetIdentification.this.closed && cause instanceof ConnectException) {
				handleRefusedConnection(this.probe);
			}
		}

		@Override
		public void onHead(HttpResponseHead head) {
			TargetIdentification.this.isAwaiting = false;
			if (!TargetIdentification.this.closed) {
				handleAnswer(this.probe, TargetIdentification.this.translator.readIdentity(head, this.connection));
			}
		}

		@Override
		public void onBody(ByteBuffer data) {
			// The head holds the identity.
		}

		@Override
		public void onComplete() {
			// The head holds the identity.
		}

		@Override
		public void onConnectionBroken(IOException cause) {
			TargetIdentification.this.isAwaiting = false;
			if (!TargetIdentification.this.closed && this.connection == Connection.EARLIER) {
				handleLostConnection(this.probe);
			}
		}

	}

}
