package dev.laneworks.core.admission;

/**
 * Model of the distribution of output lengths.
 *
 * @since 0.1
 */
public interface LengthModel {

	/**
	 * Record the length of an output that ended normally.
	 * @param type the class of the request
	 * @param length the length in tokens
	 */
	void observe(LengthClass type, long length);

	/**
	 * Return the probability that an output is longer than a length.
	 * @param type the class of the request
	 * @param length the length in tokens
	 * @return the probability from 0 to 1
	 */
	double survival(LengthClass type, long length);

}
