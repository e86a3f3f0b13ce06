package dev.laneworks.core.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Length model that learns from observed outputs by account, model and kind of request.
 * <p>
 * The curve of a class with few observations is mixed with the curve of its model, and
 * that one with a prior in which each doubling of the length is equally likely. The
 * number of classes is limited; the least recently used class is removed. Not
 * thread-safe.
 *
 * @since 0.1
 */
public final class LearnedLengthModel implements LengthModel {

	/** Default for the maximum number of classes. */
	public static final int DEFAULT_MAX_CLASSES = 4096;

	private static final int INITIAL_CLASSES = 16;

	private static final float LOAD_FACTOR = 0.75f;

	/** Number of observations at which a curve has the same weight as its fallback. */
	private static final double PRIOR_STRENGTH = 8;

	/** Number of doublings over which the prior distributes lengths evenly. */
	private static final double PRIOR_DOUBLINGS = 14;

	private final int halfLife;

	private final Map<LengthClass, SurvivalCurve> classes;

	private final Map<String, SurvivalCurve> models = new LinkedHashMap<>();

	/**
	 * Create a model without observations.
	 * @param halfLife the number of observations after which the weight of one has halved
	 * @param maxClasses the maximum number of classes, at least 1
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
