package dev.laneworks.core.serving;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Keys of the client accounts of a plan, and whether requests need one.
 * <p>
 * A plan without accounts requires no key. A plan whose accounts have no key left
 * requires one all the same, so that it allows no request that needs a key.
 *
 * @param accounts the client accounts by key, or empty if no request needs a key
 * @since 0.8
 */
public record AccountKeys(Optional<Map<String, AccountGrant>> accounts) {

	private static final AccountKeys NOT_REQUIRED = new AccountKeys(Optional.empty());

	public AccountKeys {
		accounts = accounts.map(Map::copyOf);
	}

	/**
	 * Return the instance that requires no key.
	 * @return an instance without accounts
	 */
	public static AccountKeys notRequired() {
		return NOT_REQUIRED;
	}

	/**
	 * Create an instance that requires one of the given keys.
	 * @param accounts the client accounts by key; if empty, no key is valid
	 * @return the keys
	 */
	public static AccountKeys required(Map<String, AccountGrant> accounts) {
		return new AccountKeys(Optional.of(accounts));
	}

	/**
	 * Determine whether a request needs a key unless its route is open.
	 * @return {@code true} if keys are required, whatever their number
	 */
	public boolean areRequired() {
		return this.accounts.isPresent();
	}

	/**
	 * Find the client account to which a key belongs.
	 * @param key the key sent by the caller
	 * @return the account and its rights, or empty if no account has this key
	 */
	public Optional<AccountGrant> find(String key) {
		return this.accounts.map((a) -> a.get(key));
	}

	/**
	 * Return the rights that the keys grant.
	 * @return a grant for each key; empty if there is no key
	 */
	public Collection<AccountGrant> grants() {
		return this.accounts.map(Map::values).orElse(List.of());
	}

}
