package dev.laneworks.standin.engine;

import net.openhft.hashing.LongHashFunction;

/**
 * Makes up the text of tokens and the length of outputs, the same for the same names and
 * seed.
 */
final class TokenText {

	private static final String[] WORDS = ("the parcel was first surveyed along river and its northern boundary follows "
			+ "an old fence line that two families agreed on before title was drawn since then road reserve has moved "
			+ "east by four metres so corner beacon now stands in field of next farm which deed notes but map does not "
			+ "show yet caller says message left at six asks for ring back about dialysis pickup on Tuesday")
		.split(" ");

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	private static final double LONG_RANGE = 0x1.0p-53;

	private final EngineSettings settings;

	TokenText(EngineSettings settings) {
		this.settings = settings;
	}

	String token(String name, int offset) {
		if (this.settings.numbers()) {
			return name + '#' + offset + ' ';
		}
		long hash = HASH.hashChars(name) + offset * 0x9E3779B97F4A7C15L;
		return WORDS[(int) Long.remainderUnsigned(hash ^ (hash >>> 29), WORDS.length)] + ' ';
	}

	int length(String name) {
		double u1 = unit(HASH.hashChars(name) ^ this.settings.seed());
		double u2 = unit(HASH.hashChars(name) * 31 + this.settings.seed());
		double normal = Math.sqrt(-2 * Math.log(u1)) * Math.cos(2 * Math.PI * u2);
		return (int) Math.max(1, this.settings.medianLength() * Math.exp(this.settings.lengthSigma() * normal));
	}

	private static double unit(long hash) {
		long mixed = (hash ^ (hash >>> 31)) * 0xBF58476D1CE4E5B9L;
		return ((mixed ^ (mixed >>> 29)) >>> 11) * LONG_RANGE + Double.MIN_NORMAL;
	}

}
