package dev.laneworks.entry.direct;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.dispatch.AnswerEnd;
import dev.laneworks.core.dispatch.AnswerHead;
import dev.laneworks.core.dispatch.ConnectFault;
import dev.laneworks.core.dispatch.Dispatcher;
import dev.laneworks.core.dispatch.EventId;
import dev.laneworks.core.dispatch.Probe;
import dev.laneworks.core.dispatch.SendParameters;
import dev.laneworks.core.verdict.AnswerMeaning;
import dev.laneworks.runtime.http.HttpExchange;
import dev.laneworks.runtime.http.HttpRequest;
import dev.laneworks.runtime.http.HttpResponseHead;
import dev.laneworks.runtime.http.HttpResponseListener;

/**
 * Attempt to execute a request at a target, on a connection of its own.
 * <p>
 * A connection serves one request, so that neither a late answer nor surplus bytes can be
 * mistaken for the answer to another.
 */
final class TargetAttempt implements HttpResponseListener {

	/** Upper limit for an answer that is buffered completely. */
	private static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;

	/** Size from which an answer grows only within the memory for all answers. */
	private static final int LARGE_ANSWER_BYTES = 256 * 1024;

	/**
	 * Upper limit for an event that is not complete, and for events without an id in
	 * series.
	 */
	private static final int MAX_EVENT_BYTES = 256 * 1024;

	private final long call;

	private final int number;

	private final ListedTarget target;

	private final SendParameters parameters;

	private final CallerRequest request;

	private final Dispatcher dispatcher;

	private final HeaderTranslator translator;

	private final EventLoop loop;

	private final BooleanSupplier hasMemory;

	private final TargetIdentification identification;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private final EventFramer framer = new EventFramer(this::event);

	/** Comments before the first event that the caller receives. */
	private final ByteArrayOutputStream preamble = new ByteArrayOutputStream();

	private boolean isRelaying;

	private HttpExchange exchange;

	private HttpResponseHead head;

	private AnswerHead answerHead;

	private boolean isEventStream;

	private int bytesWithoutId;

	private boolean abandoned;

	TargetAttempt(long call, int number, ListedTarget target, SendParameters parameters, CallerRequest request,
			Dispatcher dispatcher, HeaderTranslator translator, EventLoop loop, BooleanSupplier hasMemory,
			TargetIdentification identification) {
		this.call = call;
		this.number = number;
		this.target = target;
		this.parameters = parameters;
		this.request = request;
		this.dispatcher = dispatcher;
		this.translator = translator;
		this.loop = loop;
		this.hasMemory = hasMemory;
		this.identification = identification;
	}

	URI server() {
		return URI.create("http://" + this.target.address());
	}

	void use(HttpExchange started) {
		this.exchange = started;
	}

	boolean isAbandoned() {
		return this.abandoned;
	}

	// Ask its target for its identity, since the answer has ended.
	void identify(Probe probe) {
		this.identification.start(probe);
	}

	// Close the connections beside that of the answer.
	void close() {
		this.identification.close();
	}

	void abandon() {
		this.abandoned = true;
		close();
		if (this.exchange != null) {
			this.exchange.cancelWithReset();
		}
	}

	TargetAnswer answer() {
		return new TargetAnswer(this.head, this.body.toByteArray());
	}

	// Return the request to send, or empty if the caller has disconnected, the attempt
	// was
	// abandoned or its time is over.
	Optional<HttpRequest> atConnection() {
		this.loop.begin();
		if (this.request.connection().isClosed() || this.abandoned) {
			return Optional.empty();
		}
		OptionalLong remainingMillis = this.dispatcher.readyToSend(this.call, this.number, this.loop.now());
		this.loop.runTimersSoon();
		if (remainingMillis.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(new HttpRequest(server(), this.request.method(), this.request.uri(), this.translator
			.forTarget(this.request.forwardedHeaders(), this.target, this.parameters, remainingMillis.getAsLong()),
				this.request.body()));
	}

	@Override
	public void onConnectFailed(IOException cause) {
		this.loop.begin();
		ConnectFault fault = (cause instanceof ConnectException) ? ConnectFault.REFUSED : ConnectFault.TIMED_OUT;
		this.dispatcher.connectFailed(this.call, this.number, fault, String.valueOf(cause.getMessage()),
				this.loop.now());
		this.loop.runTimers();
	}

	@Override
	public void onHead(HttpResponseHead received) {
		this.loop.begin();
		if (this.abandoned) {
			return;
		}
		this.head = received;
		this.answerHead = this.translator.readAnswer(received);
		this.isEventStream = this.dispatcher.headReceived(this.call, this.number, this.answerHead, this.loop.now());
		if (received.isCloseDelimited()) {
			this.identification.handleAnswerBegun();
		}
		// Its body may be a stream without end.
		if (this.answerHead.meaning() == AnswerMeaning.CONTRADICTION) {
			breakOff("status " + received.status() + " and a statement that the request did not run");
			this.loop.runTimers();
		}
	}

	@Override
	public void onBody(ByteBuffer data) {
		this.loop.begin();
		if (this.abandoned) {
			return;
		}
		if (this.isEventStream) {
			this.framer.accept(data);
			if (!this.abandoned && Math.max(this.framer.pendingBytes(), this.bytesWithoutId) > MAX_EVENT_BYTES) {
				breakOff("the stream has no event in " + MAX_EVENT_BYTES + " bytes");
			}
			this.loop.runTimers();
			return;
		}
		int size = this.body.size() + data.remaining();
		if (size > MAX_ANSWER_BYTES || (size > LARGE_ANSWER_BYTES && !this.hasMemory.getAsBoolean())) {
			breakOff("the answer is too large: over " + this.body.size() + " bytes");
			this.loop.runTimers();
			return;
		}
		byte[] chunk = new byte[data.remaining()];
		data.get(chunk);
		this.body.writeBytes(chunk);
	}

	private void breakOff(String cause) {
		abandon();
		this.dispatcher.attemptBroken(this.call, this.number, cause, this.loop.now());
	}

	// Return the bytes of the answer that are buffered.
	long bufferedBytes() {
		return (long) this.body.size() + this.framer.pendingBytes() + this.preamble.size();
	}

	@Override
	public void onComplete() {
		this.identification.handleAnswerEnded();
		this.loop.begin();
		if (this.abandoned) {
			return;
		}
		if (this.isEventStream) {
			this.dispatcher.streamEnded(this.call, this.number,
					new AnswerEnd(this.head.isCloseDelimited(), this.framer.remainder().length), this.loop.now());
		}
		else {
			this.dispatcher.answered(this.call, this.number, this.answerHead,
					new AnswerEnd(this.head.isCloseDelimited(), 0), this.loop.now());
		}
		this.loop.runTimers();
	}

	@Override
	public void onConnectionBroken(IOException cause) {
		this.loop.begin();
		if (this.abandoned) {
			return;
		}
		this.dispatcher.attemptBroken(this.call, this.number, "the connection broke: " + cause.getMessage(),
				this.loop.now());
		this.loop.runTimers();
	}

	private void event(byte[] bytes, Optional<EventId> id) {
		if (this.abandoned) {
			return;
		}
		if (id.isEmpty()) {
			this.bytesWithoutId += bytes.length;
			relayBesideEvents(bytes);
			return;
		}
		this.bytesWithoutId = 0;
		byte[] preceding = this.preamble.toByteArray();
		this.preamble.reset();
		if (this.dispatcher.eventReceived(this.call, this.number, id.get(), this.loop.now())) {
			this.isRelaying = true;
			this.request.relay((preceding.length > 0) ? concat(preceding, bytes) : bytes);
		}
	}

	// The answer to the caller starts with the first event.
	private void relayBesideEvents(byte[] bytes) {
		if (this.isRelaying) {
			this.request.relay(bytes);
		}
		else {
			this.preamble.writeBytes(bytes);
		}
	}

	private static byte[] concat(byte[] first, byte[] second) {
		byte[] all = Arrays.copyOf(first, first.length + second.length);
		System.arraycopy(second, 0, all, first.length, second.length);
		return all;
	}

}
