package dev.laneworks.entry.direct;

import java.util.List;

import com.codahale.metrics.MetricRegistry;
import dev.laneworks.core.shares.AccountShare;
import dev.laneworks.runtime.metrics.MetricsText;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link AccountGauges}. They guard against a scrape that fails or grows
 * because of the names of accounts.
 */
class AccountGaugesTests {

	private final MetricRegistry metrics = new MetricRegistry();

	private final AccountGauges gauges = new AccountGauges(this.metrics);

	@Test
	void addsUpAccountsWithTheSameMetricName() {
		this.gauges.update(List.of(new AccountShare("s", "a-b", 5, 7), new AccountShare("s", "a.b", 1, 2)));
		assertThat(new MetricsText(this.metrics).write()).contains("laneworks_account_used_tokens_a_b 6.0");
		assertThat(new MetricsText(this.metrics).write()).contains("laneworks_account_share_tokens_a_b 9.0");
	}

	@Test
	void removesAccountsWithoutShare() {
		this.gauges.update(List.of(new AccountShare("s", "a", 5, 7), new AccountShare("s", "", 1, 2)));
		this.gauges.update(List.of(new AccountShare("s", "", 3, 4)));
		assertThat(this.metrics.getNames()).containsExactly("laneworks_account_used_tokens_none",
				"laneworks_account_share_tokens_none");
		assertThat(new MetricsText(this.metrics).write()).contains("laneworks_account_used_tokens_none 3.0");
		this.gauges.update(List.of());
		assertThat(this.metrics.getNames()).isEmpty();
	}

}
