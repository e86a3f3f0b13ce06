package dev.laneworks.core.returns;

/**
 * Time at which a refused caller is told to return.
 *
 * @param millis the time from now, in milliseconds
 * @param honoured whether the caller has enough time left to wait for it; otherwise no
 * memory is expected to be free while the caller can still return
 * @since 0.4
 */
public record RetryTime(long millis, boolean honoured) {

	/**
	 * Return the text to add to the detail of the refusal.
	 * @return one clause, or empty text if the caller can return at the time
	 */
	public String detail() {
		return this.honoured ? ""
				: ", and none is expected to be free before a third of the time left to the caller has passed";
	}

}
