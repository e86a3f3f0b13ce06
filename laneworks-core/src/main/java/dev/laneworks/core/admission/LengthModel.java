package dev.laneworks.core.admission;

/**
 * Says how likely an output is to outlast a length.
 *
 * @since 0.1
 */
public interface LengthModel {

	/**
	 * Record the length of an output that ended by itself.
	 * @param type the class of the request
	 * @param length the length in tokens
	 */
	void observe(LengthClass type, long length);

	/**
	 * Return the share of outputs that are longer than a length.
	 * @param type the class of the request
	 * @param length the length in tokens
	 * @return from 0 to 1
	 */
	double survival(LengthClass type, long length);

}
