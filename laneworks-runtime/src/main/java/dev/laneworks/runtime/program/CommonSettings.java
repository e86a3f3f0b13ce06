package dev.laneworks.runtime.program;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;

import dev.laneworks.core.document.DocumentObject;

/**
 * The settings that both programs have.
 *
 * @param instance the name of the instance; for a sidecar, of its target
 * @param dataCentre the data centre it runs in
 * @param operatorAddress where operators and scrapers reach it
 * @param platform the platform's configuration service and live list
 * @param watchWait how long the configuration service may hold a watch
 * @param auditCapacity the most audit events kept in memory
 * @since 0.1
 */
public record CommonSettings(String instance, String dataCentre, InetSocketAddress operatorAddress, URI platform,
		Duration watchWait, int auditCapacity) {

	/**
	 * Read the settings.
	 * @param object the document
	 * @param nameMember the setting that holds the name
	 * @return the settings
	 */
	public static CommonSettings read(DocumentObject object, String nameMember) {
		return new CommonSettings(object.text(nameMember), object.text("dataCentre"),
				Addresses.address(object, "operatorAddress"), Addresses.server(object, "platform"),
				object.duration("watchWait", Duration.ofSeconds(1), Duration.ofMinutes(1), Duration.ofSeconds(20)),
				(int) object.integer("auditCapacity", 100, 1_000_000, 10_000));
	}

}
