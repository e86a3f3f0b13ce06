package dev.laneworks.core.configuration;

import java.util.List;
import java.util.Optional;

/**
 * The operator's routing rule for an account and a model.
 *
 * @param account the account's name, or {@link #ANY_ACCOUNT}
 * @param model the name of the model or service
 * @param adapter the adapter to load, or an empty string
 * @param modelVersion the version of the weights
 * @param priority the priority of its requests, higher first; 0 is for batch requests
 * @param dataCentres the data centres to use, nearest first; an empty list allows none,
 * and without a list all are allowed
 * @param spill where requests may go when these data centres are full
 * @param repeatable whether requests may run more than once if the caller does not
 * specify it
 * @since 0.1
 */
public record Intent(String account, String model, String adapter, String modelVersion, int priority,
		Optional<List<String>> dataCentres, SpillRule spill, boolean repeatable) {

	/** Matches every account without an intent of its own. */
	public static final String ANY_ACCOUNT = "*";

	public Intent {
		dataCentres = dataCentres.map(List::copyOf);
	}

}
