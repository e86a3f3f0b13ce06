package dev.laneworks.core.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One validated version of the platform's configuration.
 * <p>
 * Immutable. The cost of a look-up by account, model or target does not grow with the
 * fleet.
 *
 * @since 0.1
 */
public final class FleetConfiguration {

	private final long version;

	private final KeyRetention keyRetention;

	private final Map<String, TargetDescription> targets;

	private final Map<String, List<TargetDescription>> targetsByModel;

	private final Map<String, ServiceDescription> services;

	private final Map<String, AccountDescription> accountsByDigest;

	private final Map<String, AccountDescription> accountsByName;

	private final Map<IntentKey, Intent> intents;

	FleetConfiguration(long version, KeyRetention keyRetention, List<TargetDescription> targets,
			List<ServiceDescription> services, List<AccountDescription> accounts, List<Intent> intents) {
		this.version = version;
		this.keyRetention = keyRetention;
		this.targets = new LinkedHashMap<>();
		this.targetsByModel = new HashMap<>();
		targets.forEach(this::addTarget);
		this.services = new HashMap<>();
		services.forEach((s) -> this.services.put(s.name(), s));
		this.accountsByDigest = new HashMap<>();
		this.accountsByName = new HashMap<>();
		accounts.forEach(this::addAccount);
		this.intents = new HashMap<>();
		intents.forEach((i) -> this.intents.put(new IntentKey(i.account(), i.model()), i));
	}

	/**
	 * Return the version, by which configurations are ordered.
	 * @return the version, at least 1
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Return the periods that bound the use of idempotency keys.
	 * @return the periods
	 */
	public KeyRetention keyTimes() {
		return this.keyRetention;
	}

	/**
	 * Return a target by name.
	 * @param name the target's name
	 * @return the target, or empty if the configuration has none of that name
	 */
	public Optional<TargetDescription> target(String name) {
		return Optional.ofNullable(this.targets.get(name));
	}

	/**
	 * Return all targets in the document's order.
	 * @return the targets
	 */
	public List<TargetDescription> targets() {
		return List.copyOf(this.targets.values());
	}

	/**
	 * Return the targets that serve a model or service.
	 * @param model the name of the model or service
	 * @return the targets in the document's order; empty if there are none
	 */
	public List<TargetDescription> targetsServing(String model) {
		return this.targetsByModel.getOrDefault(model, List.of());
	}

	/**
	 * Return the models and services that at least one target serves.
	 * @return the names in alphabetical order
	 */
	public List<String> models() {
		return this.targetsByModel.keySet().stream().sorted().toList();
	}

	/**
	 * Return a plain service by name.
	 * @param name the service's name
	 * @return the service, or empty if there is none
	 */
	public Optional<ServiceDescription> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Return the account that an API key belongs to.
	 * @param keyDigest the SHA-256 of the key, in lower-case hexadecimal
	 * @return the account, or empty if there is none
	 */
	public Optional<AccountDescription> accountByDigest(String keyDigest) {
		return Optional.ofNullable(this.accountsByDigest.get(keyDigest));
	}

	/**
	 * Return an account by name.
	 * @param name the account's name
	 * @return the account, or empty if there is none
	 */
	public Optional<AccountDescription> accountByName(String name) {
		return Optional.ofNullable(this.accountsByName.get(name));
	}

	/**
	 * Return all accounts.
	 * @return the accounts in no particular order
	 */
	public List<AccountDescription> accounts() {
		return List.copyOf(this.accountsByDigest.values());
	}

	/**
	 * Return the intent for an account and a model, or else the one for any account.
	 * @param account the account's name
	 * @param model the name of the model or service
	 * @return the intent, or empty if the account may not use the model
	 */
	public Optional<Intent> intent(String account, String model) {
		Intent own = this.intents.get(new IntentKey(account, model));
		return Optional.ofNullable((own != null) ? own : this.intents.get(new IntentKey(Intent.ANY_ACCOUNT, model)));
	}

	/**
	 * Return all intents.
	 * @return the intents in no particular order
	 */
	public List<Intent> intents() {
		return List.copyOf(this.intents.values());
	}

	private void addAccount(AccountDescription account) {
		this.accountsByDigest.put(account.keyDigest(), account);
		this.accountsByName.put(account.name(), account);
	}

	private void addTarget(TargetDescription target) {
		this.targets.put(target.name(), target);
		for (String model : target.serves()) {
			this.targetsByModel.computeIfAbsent(model, (m) -> new ArrayList<>()).add(target);
		}
	}

	private record IntentKey(String account, String model) {

	}

}
