package dev.laneworks.core.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Learns lengths by account, model and kind, and falls back on the model's other requests
 * while it knows little.
 * <p>
 * A class with few observations is mixed with its model's curve, and that with a prior in
 * which each doubling of the length is equally likely. The number of classes is bounded;
 * the one least recently used is forgotten. Not thread-safe.
 *
 * @since 0.1
 */
public final class LearnedLengthModel implements LengthModel {

	/** Enough classes for the accounts of a large fleet. */
	public static final int DEFAULT_MAX_CLASSES = 4096;

	private static final int INITIAL_CLASSES = 16;

	private static final float LOAD_FACTOR = 0.75f;

	/** The observations of its own at which a curve weighs as much as its fallback. */
	private static final double PRIOR_STRENGTH = 8;

	/** The prior spreads lengths evenly over the doublings up to this one. */
	private static final double PRIOR_DOUBLINGS = 14;

	private final int halfLife;

	private final Map<LengthClass, SurvivalCurve> classes;

	private final Map<String, SurvivalCurve> models = new LinkedHashMap<>();

	/**
	 * Create a model that knows nothing yet.
	 * @param halfLife the number of observations after which one weighs half
	 * @param maxClasses the most classes remembered
	 */
	public LearnedLengthModel(int halfLife, int maxClasses) {
		if (maxClasses < 1) {
			throw new IllegalArgumentException("maxClasses must be at least 1 but is " + maxClasses);
		}
		this.halfLife = halfLife;
		this.classes = new LinkedHashMap<>(INITIAL_CLASSES, LOAD_FACTOR, true) {

			@Override
			protected boolean removeEldestEntry(Map.Entry<LengthClass, SurvivalCurve> eldest) {
				return size() > maxClasses;
			}

		};
	}

	@Override
	public void observe(LengthClass type, long length) {
		this.classes.computeIfAbsent(type, (t) -> new SurvivalCurve(this.halfLife)).observe(length);
		this.models.computeIfAbsent(type.model(), (m) -> new SurvivalCurve(this.halfLife)).observe(length);
	}

	@Override
	public double survival(LengthClass type, long length) {
		double fallback = mix(this.models.get(type.model()), length, prior(length));
		return mix(this.classes.get(type), length, fallback);
	}

	private static double mix(SurvivalCurve curve, long length, double fallback) {
		if (curve == null) {
			return fallback;
		}
		double count = curve.effectiveCount();
		return (count * curve.survival(length) + PRIOR_STRENGTH * fallback) / (count + PRIOR_STRENGTH);
	}

	private static double prior(long length) {
		double doublings = Math.log(length + 1.0) / Math.log(2);
		return Math.max(0, 1 - doublings / PRIOR_DOUBLINGS);
	}

}
