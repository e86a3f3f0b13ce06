package dev.laneworks.core.configuration;

import java.util.List;

/**
 * What an operator wants for an account and a model.
 *
 * @param account the account's name, or {@link #ANY_ACCOUNT}
 * @param model the model or service
 * @param adapter the adapter to load, or empty text
 * @param modelVersion the version of the weights
 * @param priority higher goes first; 0 is overnight work
 * @param dataCentres the data centres to use, nearest first; empty for all
 * @param spill where else requests may go
 * @param repeatable whether requests may run more than once when the caller does not say
 * @since 0.1
 */
public record Intent(String account, String model, String adapter, String modelVersion, int priority,
		List<String> dataCentres, SpillRule spill, boolean repeatable) {

	/** Stands for every account without an intent of its own. */
	public static final String ANY_ACCOUNT = "*";

	public Intent {
		dataCentres = List.copyOf(dataCentres);
	}

}
