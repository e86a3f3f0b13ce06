package dev.laneworks.entry;

import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import dev.laneworks.core.call.CallRequest;
import dev.laneworks.core.configuration.FleetConfiguration;
import dev.laneworks.core.configuration.TargetDescription;
import dev.laneworks.core.routing.Rendezvous;
import dev.laneworks.core.stream.RequestTicket;
import dev.laneworks.core.stream.StreamPosition;
import dev.laneworks.entry.caller.CallPort;
import dev.laneworks.entry.caller.CallerResponse;
import dev.laneworks.runtime.duty.Duty;
import dev.laneworks.runtime.program.MonotonicClock;

/**
 * Submits callers' requests to the duty that makes all routing decisions.
 */
final class DutyCallPort implements CallPort {

	private final Supplier<Duty<EntryState>> duty;

	private final int maxCalls;

	private final AtomicLong callNumbers = new AtomicLong();

	/** Incarnations of the sidecars whose links are up, by target name. */
	private final Map<String, Long> incarnations = new ConcurrentHashMap<>();

	private volatile FleetConfiguration configuration;

	private volatile int openCalls;

	DutyCallPort(Supplier<Duty<EntryState>> duty, int maxCalls) {
		this.duty = duty;
		this.maxCalls = maxCalls;
	}

	void applyConfiguration(FleetConfiguration newConfiguration) {
		this.configuration = newConfiguration;
	}

	void recordLinkUp(String target, long incarnation) {
		this.incarnations.put(target, incarnation);
	}

	void recordLinkDown(String target) {
		this.incarnations.remove(target);
	}

	void setOpenCalls(int count) {
		this.openCalls = count;
	}

	@Override
	public Optional<FleetConfiguration> configuration() {
		return Optional.ofNullable(this.configuration);
	}

	@Override
	public long nextCallNumber() {
		return this.callNumbers.incrementAndGet();
	}

	@Override
	public boolean open(long call, CallRequest request, CallerResponse response) {
		return this.openCalls < this.maxCalls && this.duty.get().offer((s) -> {
			s.register(call, response);
			s.coordinator().open(call, request, MonotonicClock.millis());
		});
	}

	@Override
	public boolean resume(long call, CallRequest request, StreamPosition position, CallerResponse response) {
		return this.openCalls < this.maxCalls && this.duty.get().offer((s) -> {
			s.register(call, response);
			s.coordinator().resume(call, request, position, MonotonicClock.millis());
		});
	}

	@Override
	public void recordConsumed(long call, long offset) {
		this.duty.get().put((s) -> s.coordinator().onCallerConsumed(call, offset));
	}

	@Override
	public void recordDisconnect(long call) {
		this.duty.get().put((s) -> s.onCallerDisconnected(call));
	}

	@Override
	public Optional<RequestTicket> createTicket(String account, String model) {
		FleetConfiguration current = this.configuration;
		if (current == null) {
			return Optional.empty();
		}
		String identity = UUID.randomUUID().toString();
		var linked = current.targetsServing(model)
			.stream()
			.filter((t) -> this.incarnations.containsKey(t.name()))
			.toList();
		Optional<TargetDescription> home = Rendezvous.first(Rendezvous.hash(identity), linked, TargetDescription::name);
		return home.flatMap((t) -> Optional.ofNullable(this.incarnations.get(t.name()))
			.map((i) -> new RequestTicket(t.name(), i, account, identity)));
	}

}
