package dev.laneworks.core.waiting;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import dev.laneworks.core.gossip.ServiceDemand;
import dev.laneworks.core.headroom.StartLimit;
import dev.laneworks.core.returns.MemoryOutlook;
import dev.laneworks.core.returns.RefusedCaller;
import dev.laneworks.core.returns.RetryTime;
import dev.laneworks.core.returns.RetryTimes;
import dev.laneworks.core.serving.RouteSpec;
import dev.laneworks.core.serving.ServingPlan;
import dev.laneworks.core.shares.AccountOveruse;
import dev.laneworks.core.shares.QueueListener;

/**
 * Queues of the generations that wait at this entry for engine memory, one for each
 * governed service.
 * <p>
 * Decides who waits, in which order, until when, and when to check for released memory.
 * Selecting engines and sending requests is left to the invoker. Without settings, no
 * service is governed. Not thread-safe.
 *
 * @since 0.4
 */
public final class GenerationQueues {

	private final Optional<WaitingSettings> settings;

	private final StartLimit limit;

	private final AccountOveruse overuse;

	private final PeerDemand peers;

	private final CheckPacing pacing;

	private final CallerAges callerAges = new CallerAges();

	private final RetryTimes retryTimes = new RetryTimes();

	private final Map<String, ServiceQueue> queues = new HashMap<>();

	private GovernedServices governed = GovernedServices.NONE;

	private QueueListener listener = QueueListener.NONE;

	private long refused;

	/**
	 * Create empty queues.
	 * @param settings the settings; empty to govern no service
	 * @param limit the utilization up to which generations start
	 * @param overuse the use of memory by client accounts
	 * @param peers the demand at other entries
	 * @param random the source of the check intervals
	 */
	public GenerationQueues(Optional<WaitingSettings> settings, StartLimit limit, AccountOveruse overuse,
			PeerDemand peers, RandomGenerator random) {
		this.settings = settings;
		this.limit = limit;
		this.overuse = overuse;
		this.peers = peers;
		this.pacing = new CheckPacing(random);
	}

	/**
	 * Register the listener for generations that are queued or leave the queue, replacing
	 * any earlier one. To be called before the first request.
	 * @param queueListener the listener to notify
	 */
	public void onQueueChange(QueueListener queueListener) {
		this.listener = queueListener;
	}

	/**
	 * Create queues that govern no service.
	 * @return queues that stay empty
	 */
	public static GenerationQueues off() {
		return new GenerationQueues(Optional.empty(), (s, p, t) -> 1, AccountOveruse.NONE, PeerDemand.NONE,
				RandomGenerator.getDefault());
	}

	/**
	 * Determine the governed services of a new plan. Generations of a service that is no
	 * longer governed stay queued until they start or are refused.
	 * @param plan the plan that replaces the current one
	 */
	public void applyPlan(ServingPlan plan) {
		this.governed = this.settings.map((s) -> GovernedServices.of(plan, s.minGoalMillis()))
			.orElse(GovernedServices.NONE);
	}

	/**
	 * Return the services whose generations wait for engine memory.
	 * @return the governed services of the current plan
	 */
	public GovernedServices governed() {
		return this.governed;
	}

	/**
	 * Return the priority with which a generation is sent to its engine. Engines know no
	 * routes, so the order of the routes is expressed within the priority of the client
	 * account.
	 * @param service the name of the service
	 * @param route the route of the request, with the priority of the client account
	 * @return the priority, 0 being the highest
	 */
	public int enginePriority(String service, RouteSpec route) {
		return (route.priority() != route.routePriority())
				? route.priority() + this.governed.rankOf(service, route.routePriority()) : route.priority();
	}

	/**
	 * Return the highest utilization of an engine up to which a generation may start
	 * there.
	 * @param service the name of the service
	 * @param priority the priority of the generation's route, 0 being the highest
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return a fraction of the engine's memory, from 0 to 1
	 */
	public double maxUtilization(String service, int priority, long now) {
		return this.limit.maxUtilization(service, priority, now);
	}

	/**
	 * Return the memory that a generation must leave free when it starts, for client
	 * accounts within their fair shares that wait at other entries.
	 * @param service the name of the service
	 * @param account the client account of the generation
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the number of tokens
	 */
	public long tokensToLeaveFree(String service, String account, long now) {
		return this.overuse.tokensToLeaveFree(service, account, now);
	}

	/**
	 * Estimate the time of the first arrival of a request that arrives now.
	 * @param route the name of the route
	 * @param timeoutMillis the time left to the caller in milliseconds
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the time in milliseconds of the monotonic clock, earlier than {@code now}
	 * if the caller was refused before and returned
	 */
	public long firstArrivalAt(String route, long timeoutMillis, long now) {
		return this.callerAges.firstArrivalAt(route, timeoutMillis, now);
	}

	/**
	 * Determine whether a generation goes before all others that may start at the same
	 * engines.
	 * @param service the name of the service
	 * @param generation the generation, in the queue or not
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return {@code true} if it may start if an engine has memory
	 */
	public boolean isNext(String service, QueuedGeneration generation, long now) {
		return queue(service).isNext(generation, now);
	}

	/**
	 * Queue a generation that no engine has memory for.
	 * @param service the name of the service
	 * @param generation the generation, which is not in the queue
	 * @param memory the memory of the engines
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the refusal of this generation or of the one that made room for it, or
	 * empty if nothing is refused
	 */
	public Optional<QueueRefusal> enqueue(String service, QueuedGeneration generation, EngineMemory memory, long now) {
		Optional<QueueRefusal> refusal = queue(service).add(generation,
				expectedWaitMillis(service, generation, memory, now), now);
		this.refused += refusal.isPresent() ? 1 : 0;
		return refusal;
	}

	/**
	 * Remove the generations that can no longer be served in time. To be called before
	 * any is started, since the process may have been paused.
	 * @param service the name of the service
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the generations to refuse
	 */
	public List<QueueRefusal> removeExpired(String service, long now) {
		List<QueueRefusal> expired = queue(service).removeExpired(now);
		this.refused += expired.size();
		return expired;
	}

	/**
	 * Return the queued generations in the order in which they are to start.
	 * @param service the name of the service
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return a copy of the queue
	 */
	public List<QueuedGeneration> inOrder(String service, long now) {
		return queue(service).inOrder(now);
	}

	/**
	 * Describe the place of a generation.
	 * @param service the name of the service
	 * @param generation the generation, in the queue or not
	 * @param memory the memory of the engines
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return its position with the inputs of the decision
	 */
	public QueuePosition position(String service, QueuedGeneration generation, EngineMemory memory, long now) {
		return queue(service).position(generation, expectedWaitMillis(service, generation, memory, now), now);
	}

	/**
	 * Remove a generation that starts or whose call ends.
	 * @param service the name of the service
	 * @param call the number of its call
	 * @return {@code true} if it was queued
	 */
	public boolean remove(String service, long call) {
		ServiceQueue queue = this.queues.get(service);
		return queue != null && queue.remove(call);
	}

	/**
	 * Determine whether a generation waits.
	 * @param service the name of the service
	 * @param call the number of its call
	 * @return {@code true} if it is queued
	 */
	public boolean isQueued(String service, long call) {
		ServiceQueue queue = this.queues.get(service);
		return queue != null && queue.contains(call);
	}

	/**
	 * Describe for the audit log what other entries report.
	 * @param service the name of the service
	 * @return the known entries and their queued requests
	 */
	public String describePeers(String service) {
		return this.peers.demandOfOthers(service).queuedRequests() + " queued at " + (this.peers.entries() - 1)
				+ " other entries";
	}

	/**
	 * Determine whether any generation waits.
	 * @param service the name of the service
	 * @return {@code true} if the queue of the service is not empty
	 */
	public boolean isWaiting(String service) {
		ServiceQueue queue = this.queues.get(service);
		return queue != null && queue.size() > 0;
	}

	/**
	 * Return the delay of the next check for released memory. The queues of other entries
	 * do not prolong it while a generation of the most urgent priority waits, since they
	 * hold mostly less urgent ones.
	 * @param service the name of a service with queued generations
	 * @return the delay in milliseconds, at least 1
	 */
	public long nextCheckMillis(String service) {
		OptionalInt mostUrgent = this.governed.mostUrgentPriority(service);
		boolean isUrgent = mostUrgent.isPresent() && queue(service).hasPriority(mostUrgent.getAsInt());
		int nearby = isUrgent ? 0 : this.peers.demandNearby(service).queuedRequests();
		return this.pacing.nextDelayMillis(Math.max(1, queue(service).size()), nearby, this.peers.entries() <= 1);
	}

	/**
	 * Record the first event of a generation.
	 * @param service the name of the service
	 * @param priority the priority of the generation's route, 0 being the highest
	 * @param millis the time since it was sent to its engine, in milliseconds
	 */
	public void recordFirstEvent(String service, int priority, long millis) {
		queue(service).startTimes().recordFirstEvent(priority, millis);
	}

	/**
	 * Record a generation that completed.
	 * @param service the name of the service
	 * @param heldTokens the memory that it held, in tokens
	 * @param millis the time since it was sent to its engine, in milliseconds
	 */
	public void recordCompleted(String service, long heldTokens, long millis) {
		queue(service).release().record(heldTokens, millis);
	}

	/**
	 * Record the stream of a generation that completed.
	 * @param service the name of the service
	 * @param tokens the tokens that followed the first event
	 * @param millis the time since the first event in milliseconds
	 */
	public void recordStream(String service, long tokens, long millis) {
		queue(service).startTimes().recordStream(tokens, millis);
	}

	/**
	 * Return the time at which the caller of a refused generation is to return, and count
	 * it as returning.
	 * @param service the name of the service
	 * @param generation the refused generation, which is not in the queue
	 * @param memory the memory of the engines
	 * @param leftMillis the time left to the caller in milliseconds
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the time, in step with the memory that is released
	 */
	public RetryTime retryTime(String service, QueuedGeneration generation, EngineMemory memory, long leftMillis,
			long now) {
		MemoryOutlook outlook = queue(service).outlook(generation, memory,
				maxUtilization(service, generation.routePriority(), now), this.peers.demandOfOthers(service),
				this.peers.entries(), now);
		return this.retryTimes.schedule(
				new RefusedCaller(service, generation.priority(), generation.memoryTokens(), leftMillis), outlook, now);
	}

	/**
	 * Return the demand that this entry could not serve yet, for gossip updates to other
	 * entries.
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the demand for each service with queued generations or callers that are
	 * still to return
	 */
	public List<ServiceDemand> demand(long now) {
		return this.queues.entrySet()
			.stream()
			.map((e) -> demand(e.getKey(), e.getValue(), now))
			.filter((d) -> d.queuedRequests() > 0 || d.returningRequests() > 0)
			.toList();
	}

	private ServiceDemand demand(String service, ServiceQueue queue, long now) {
		return new ServiceDemand(service, queue.size(), queue.tokens(), this.retryTimes.returningRequests(service, now),
				this.retryTimes.returningTokens(service, now), List.of());
	}

	/**
	 * Return the queued generations of all services by priority of their routes.
	 * @return the counts and the arrivals of the oldest
	 */
	public SortedMap<Integer, WaitingCount> countByPriority() {
		SortedMap<Integer, WaitingCount> counts = new TreeMap<>();
		this.queues.values()
			.stream()
			.map(ServiceQueue::generations)
			.flatMap(Collection::stream)
			.forEach((g) -> counts.merge(g.routePriority(), new WaitingCount(1, g.arrivedAt()), WaitingCount::plus));
		return counts;
	}

	/**
	 * Return how many generations were refused instead of waiting, or after waiting.
	 * @return the count since the start of the process
	 */
	public long refused() {
		return this.refused;
	}

	private long expectedWaitMillis(String service, QueuedGeneration generation, EngineMemory memory, long now) {
		return queue(service).expectedWaitMillis(generation, memory,
				maxUtilization(service, generation.routePriority(), now), this.peers.demandOfOthers(service),
				this.peers.entries(), now);
	}

	private ServiceQueue queue(String service) {
		return this.queues.computeIfAbsent(service, this::createQueue);
	}

	private ServiceQueue createQueue(String service) {
		WaitingSettings inForce = this.settings.orElseThrow();
		StartTimes startTimes = new StartTimes();
		return new ServiceQueue(inForce.maxQueued(), startTimes,
				new QueueRanking(service, inForce.order(), startTimes, this.overuse),
				(account, change) -> this.listener.queueChanged(service, account, change));
	}

}
