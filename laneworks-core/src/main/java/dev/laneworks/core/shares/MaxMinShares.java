package dev.laneworks.core.shares;

import java.util.Comparator;
import java.util.List;

/**
 * Weighted max-min fair division of a capacity.
 * <p>
 * Each client account receives what it demands up to a level, times its weight, that is
 * the same for all. What an account leaves unused raises the level of the others.
 */
final class MaxMinShares {

	private MaxMinShares() {
	}

	/**
	 * Return the level at which the capacity is used up.
	 * @param demands the demand of each account
	 * @param capacity the capacity to divide, in tokens
	 * @return the share of an account of weight 1, in tokens; infinite if the capacity
	 * covers all demands
	 */
	static double level(List<Demand> demands, double capacity) {
		List<Demand> ascending = demands.stream().sorted(Comparator.comparingDouble(Demand::perWeight)).toList();
		double weight = ascending.stream().mapToDouble(Demand::weight).sum();
		double remaining = capacity;
		for (Demand demand : ascending) {
			if (demand.perWeight() * weight > remaining) {
				return remaining / weight;
			}
			remaining -= demand.tokens();
			weight -= demand.weight();
		}
		return Double.POSITIVE_INFINITY;
	}

	/**
	 * Demand of one client account.
	 *
	 * @param tokens the memory in use and waited for, in tokens
	 * @param weight the weight of the account, above 0
	 */
	record Demand(double tokens, double weight) {

		double perWeight() {
			return this.tokens / this.weight;
		}

	}

}
