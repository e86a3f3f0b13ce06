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
 * Writes metrics in the text format that common scrapers read.
 *
 * @since 0.1
 */
public final class MetricsText {

	/** The media type of the text. */
	public static final String CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final PrometheusTextFormatWriter writer = new PrometheusTextFormatWriter(false);

	/**
	 * Create a writer.
	 * @param metrics the metrics
	 */
	public MetricsText(MetricRegistry metrics) {
		DropwizardExports.builder().dropwizardRegistry(metrics).register(this.registry);
	}

	/**
	 * Write all metrics as they are now.
	 * @return the text
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
