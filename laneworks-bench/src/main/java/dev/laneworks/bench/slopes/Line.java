package dev.laneworks.bench.slopes;

/**
 * The straight line that fits measured points best, by least squares.
 *
 * @param slope the growth for one more
 * @param intercept the value at none
 * @param fit the share of the variance that the line explains, from 0 to 1
 */
record Line(double slope, double intercept, double fit) {

	static Line through(double[] x, double[] y) {
		double meanX = mean(x);
		double meanY = mean(y);
		double sxx = 0;
		double sxy = 0;
		double syy = 0;
		for (int i = 0; i < x.length; i++) {
			sxx += (x[i] - meanX) * (x[i] - meanX);
			sxy += (x[i] - meanX) * (y[i] - meanY);
			syy += (y[i] - meanY) * (y[i] - meanY);
		}
		double slope = sxy / sxx;
		double fit = (syy > 0) ? sxy * sxy / (sxx * syy) : 1;
		return new Line(slope, meanY - slope * meanX, fit);
	}

	private static double mean(double[] values) {
		double sum = 0;
		for (double value : values) {
			sum += value;
		}
		return sum / values.length;
	}

}
