package dev.laneworks.bench.slopes;

/**
 * Least-squares regression line of measured points.
 *
 * @param slope the growth of the value per unit of size
 * @param intercept the value at size zero
 * @param rSquared the coefficient of determination, from 0 to 1
 */
record LinearRegression(double slope, double intercept, double rSquared) {

	static LinearRegression fitTo(double[] x, double[] y) {
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
		double rSquared = (syy > 0) ? sxy * sxy / (sxx * syy) : 1;
		return new LinearRegression(slope, meanY - slope * meanX, rSquared);
	}

	private static double mean(double[] values) {
		double sum = 0;
		for (double value : values) {
			sum += value;
		}
		return sum / values.length;
	}

}
