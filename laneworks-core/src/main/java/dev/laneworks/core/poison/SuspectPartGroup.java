package dev.laneworks.core.poison;

import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Prompt parts that crashed targets and cannot be told apart, since each crash involved
 * all of them.
 * <p>
 * Requests are quarantined only if they have all of the parts. One that has some of them
 * shows by its result which part is harmful.
 *
 * @param account the hash of the client account whose requests crashed the targets, or
 * {@link PartKey#ALL_ACCOUNTS}
 * @param parts the digests of the parts
 * @param crashTimes the times of the crashes that count, in milliseconds, in ascending
 * order
 * @param quarantinedUntil the time of the next trial in milliseconds
 * @param quarantinedUntilIfCommon the same time if most requests have the parts
 * @since 0.8
 */
public record SuspectPartGroup(long account, Set<Long> parts, List<Long> crashTimes, long quarantinedUntil,
		long quarantinedUntilIfCommon) {

	/**
	 * Determine whether a prompt has all parts of the group.
	 * @param prompt the parts of the prompt
	 * @return {@code true} if the request belongs to the group
	 */
	public boolean matches(PromptPartDigests prompt) {
		return (this.account == PartKey.ALL_ACCOUNTS || this.account == prompt.account())
				&& prompt.parts().containsAll(this.parts);
	}

	/**
	 * Format the parts for logs.
	 * @return sixteen hexadecimal digits for each part
	 */
	public String label() {
		return this.parts.stream().sorted().map(HexFormat.of()::toHexDigits).collect(Collectors.joining(" "));
	}

	/**
	 * Determine whether the group applies to the requests of all client accounts.
	 * @return {@code false} if it applies to one account
	 */
	public boolean isOfAllAccounts() {
		return this.account == PartKey.ALL_ACCOUNTS;
	}

	boolean isSame(SuspectPartGroup other) {
		return this.account == other.account && this.parts.equals(other.parts);
	}

}
