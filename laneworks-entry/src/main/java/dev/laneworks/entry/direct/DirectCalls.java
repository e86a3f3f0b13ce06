package dev.laneworks.entry.direct;

import java.net.URI;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.dispatch.CopyOrder;
import dev.laneworks.core.dispatch.DirectRequest;
import dev.laneworks.core.dispatch.DispatchOutputs;
import dev.laneworks.core.dispatch.Dispatcher;
import dev.laneworks.core.dispatch.Probe;
import dev.laneworks.core.dispatch.SendParameters;
import dev.laneworks.core.ingress.IngressLoad;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.entry.caller.CallLatencyMetrics;
import dev.laneworks.runtime.http.AsyncHttpClient;

/**
 * Open calls with their connections, on which the decisions of the {@link Dispatcher} are
 * carried out. Used on the I/O thread alone.
 */
final class DirectCalls implements DispatchOutputs {

	/** Memory for all buffered answers together, in bytes. */
	private static final long MAX_BUFFERED_BYTES = Runtime.getRuntime().maxMemory() / 4;

	private final EventLoop loop;

	private final AsyncHttpClient http;

	private final HeaderTranslator translator;

	private final EngineCommands engines;

	private final UnaryOperator<String> healthPaths;

	private final CallLatencyMetrics times;

	private final Map<Long, OpenCall> open = new HashMap<>();

	private final OutputBacklog backlog = new OutputBacklog();

	private Dispatcher dispatcher;

	private long lastCallNumber;

	DirectCalls(EventLoop loop, AsyncHttpClient http, HeaderTranslator translator, EngineCommands engines,
			UnaryOperator<String> healthPaths, CallLatencyMetrics times) {
		this.loop = loop;
		this.http = http;
		this.translator = translator;
		this.engines = engines;
		this.healthPaths = healthPaths;
		this.times = times;
	}

	void use(Dispatcher callDispatcher) {
		this.dispatcher = callDispatcher;
	}

	IngressLoad load() {
		return new IngressLoad(this.open.size(), this.backlog.bytes());
	}

	// Open a call for a request whose body has been received completely.
	void open(CallerRequest request, DirectRequest admitted) {
		long number = ++this.lastCallNumber;
		request.measure(this.times.start());
		this.open.put(number, new OpenCall(request, admitted.id()));
		// Before the dispatcher is called, which may answer at once.
		request.connection().watch(() -> callerLeft(number));
		this.dispatcher.open(number, admitted, this.loop.now());
	}

	private void callerLeft(long call) {
		if (this.open.containsKey(call)) {
			this.dispatcher.callerDisconnected(call, this.loop.now());
			closeCall(call);
			this.loop.runTimers();
		}
	}

	@Override
	public void send(long call, int attempt, ListedTarget target, SendParameters parameters) {
		OpenCall openCall = this.open.get(call);
		TargetIdentification identification = new TargetIdentification(this.http, this.translator, target,
				this.healthPaths.apply(target.service()), this.dispatcher, this.loop);
		TargetAttempt targetAttempt = new TargetAttempt(call, attempt, target, parameters, openCall.request,
				this.dispatcher, this.translator, this.loop, this::hasMemory, identification);
		openCall.attempts.put(attempt, targetAttempt);
		this.loop.run(() -> {
			if (!openCall.request.connection().isClosed() && !targetAttempt.isAbandoned()) {
				targetAttempt.use(this.http.send(targetAttempt.server(), targetAttempt::atConnection, targetAttempt));
			}
		});
	}

	private boolean hasMemory() {
		return this.open.values()
			.stream()
			.flatMap((c) -> c.attempts.values().stream())
			.mapToLong(TargetAttempt::bufferedBytes)
			.sum() < MAX_BUFFERED_BYTES;
	}

	@Override
	public void abandon(long call, int attempt) {
		OpenCall openCall = this.open.get(call);
		if (openCall != null) {
			Optional.ofNullable(openCall.attempts.remove(attempt)).ifPresent(TargetAttempt::abandon);
		}
	}

	@Override
	public void deliver(long call, int attempt) {
		closeCall(call).ifPresent((o) -> o.request.write(() -> o.request.deliver(o.attempts.get(attempt).answer())));
	}

	@Override
	public void startStream(long call, int attempt) {
		OpenCall openCall = this.open.get(call);
		Runnable end = () -> this.loop.run(() -> callerLeft(call));
		boolean isStarted = openCall.request.write(
				() -> openCall.request.startStream(openCall.attempts.get(attempt).answer().head(), this.backlog, end));
		if (!isStarted) {
			end.run();
		}
	}

	@Override
	public void endStream(long call) {
		closeCall(call).ifPresent((o) -> o.request.write(o.request::endStream));
	}

	@Override
	public void cutStream(long call) {
		closeCall(call).ifPresent((o) -> o.request.cutStream());
	}

	@Override
	public void refuse(long call, Refusal refusal) {
		closeCall(call).ifPresent((o) -> o.request
			.write(() -> o.request.refuse(refusal, this.translator.rejectionHeaders(refusal, o.requestId))));
	}

	@Override
	public void copy(long call, CopyOrder order) {
		this.loop.run(() -> this.engines.copy(order, (r) -> {
			this.dispatcher.copied(call, order, r, this.loop.now());
			this.loop.runTimers();
		}));
	}

	@Override
	public void probe(ListedTarget target, Probe probe) {
		this.loop.run(() -> {
			TargetCheck check = new TargetCheck((refused) -> {
				this.dispatcher.probed(target, probe, refused, this.loop.now());
				this.loop.runTimers();
			});
			this.http.send(URI.create("http://" + target.address()), check::atConnection, check);
		});
	}

	@Override
	public void identify(long call, int attempt, Probe probe) {
		this.loop.run(() -> Optional.ofNullable(this.open.get(call))
			.map((o) -> o.attempts.get(attempt))
			.ifPresent((a) -> a.identify(probe)));
	}

	@Override
	public void releaseCopy(ListedTarget source, String handle) {
		this.loop.run(() -> this.engines.release(source, handle));
	}

	private Optional<OpenCall> closeCall(long call) {
		Optional<OpenCall> closed = Optional.ofNullable(this.open.remove(call));
		closed.ifPresent((o) -> o.attempts.values().forEach(TargetAttempt::close));
		return closed;
	}

	private static final class OpenCall {

		private final CallerRequest request;

		private final String requestId;

		private final Map<Integer, TargetAttempt> attempts = new HashMap<>();

		OpenCall(CallerRequest request, String requestId) {
			this.request = request;
			this.requestId = requestId;
		}

	}

}
