package dev.laneworks.runtime.metrics;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

import com.codahale.metrics.MetricRegistry;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.dropwizard.DropwizardExports;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Writes a metric registry in the Prometheus text format.
 *
 * @since 0.1
 */
public final class MetricsText {

	/** Media type of the text format. */
	public static final String CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final PrometheusTextFormatWriter writer = new PrometheusTextFormatWriter(false);

	/**
	 * Create a writer.
	 * @param metrics the registry to write
	 */
	public MetricsText(MetricRegistry metrics) {
		DropwizardExports.builder().dropwizardRegistry(metrics).register(this.registry);
	}

	/**
	 * Write the current values of all metrics.
	 * @return the metrics in the Prometheus text format
	 */
	public String write() {
		try {
			ByteArrayOutputStream out = new ByteArrayOutputStream();
			this.writer.write(out, this.registry.scrape());
			return out.toString(StandardCharsets.UTF_8);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
