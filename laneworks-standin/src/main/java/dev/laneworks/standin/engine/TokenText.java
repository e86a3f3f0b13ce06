package dev.laneworks.standin.engine;

import net.openhft.hashing.LongHashFunction;

/**
 * Deterministic generator of token texts and output lengths from a generation's name and
 * the seed.
 */
final class TokenText {

	private static final String[] WORDS = ("the parcel was first surveyed along river and its northern boundary follows "
			+ "an old fence line that two families agreed on before title was drawn since then road reserve has moved "
			+ "east by four metres so corner beacon now stands in field of next farm which deed notes but map does not "
			+ "show yet caller says message left at six asks for ring back about dialysis pickup on Tuesday")
		.split(" ");

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	private static final double UNIT_SCALE = 0x1.0p-53;

	private final EngineSettings settings;

	TokenText(EngineSettings settings) {
		this.settings = settings;
	}

	String token(String name, int offset) {
		if (this.settings.numberedTokens()) {
			return name + '#' + offset + ' ';
		}
		long hash = HASH.hashChars(name) + offset * 0x9E3779B97F4A7C15L;
		return WORDS[(int) Long.remainderUnsigned(hash ^ (hash >>> 29), WORDS.length)] + ' ';
	}

	int length(String name) {
		double u1 = toUnitInterval(HASH.hashChars(name) ^ this.settings.seed());
		double u2 = toUnitInterval(HASH.hashChars(name) * 31 + this.settings.seed());
		double gaussian = Math.sqrt(-2 * Math.log(u1)) * Math.cos(2 * Math.PI * u2);
		return (int) Math.max(1, this.settings.medianLength() * Math.exp(this.settings.lengthSigma() * gaussian));
	}

	private static double toUnitInterval(long hash) {
		long mixed = (hash ^ (hash >>> 31)) * 0xBF58476D1CE4E5B9L;
		return ((mixed ^ (mixed >>> 29)) >>> 11) * UNIT_SCALE + Double.MIN_NORMAL;
	}

}
