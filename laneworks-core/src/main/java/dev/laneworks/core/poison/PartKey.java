package dev.laneworks.core.poison;

/**
 * Prompt part as used by one client account, or by all of them.
 *
 * @param account the hash of the client account, or {@link #ALL_ACCOUNTS}
 * @param part the digest of the part
 */
record PartKey(long account, long part) {

	/** Stands for the requests of all client accounts. */
	static final long ALL_ACCOUNTS = 0;

	PartKey forAllAccounts() {
		return new PartKey(ALL_ACCOUNTS, this.part);
	}

}
