package dev.laneworks.runtime.program;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;

import dev.laneworks.core.document.DocumentObject;

/**
 * Settings that entries and sidecars share.
 *
 * @param instance the name of the instance; for a sidecar, the name of its target
 * @param dataCentre the data centre that the instance runs in
 * @param operatorAddress the local address of the operator server
 * @param platform the server of the platform's configuration service and live list
 * @param watchWait the longest time that the configuration service may delay the answer
 * to a watch
 * @param auditCapacity the maximum number of audit events kept in memory
 * @since 0.1
 */
public record CommonSettings(String instance, String dataCentre, InetSocketAddress operatorAddress, URI platform,
		Duration watchWait, int auditCapacity) {

	/**
	 * Read the shared settings of a program.
	 * @param object the document, which records a fault for each invalid setting
	 * @param nameMember the name of the setting that holds the instance's name
	 * @return the settings, with placeholders for invalid ones
	 */
	public static CommonSettings read(DocumentObject object, String nameMember) {
		return new CommonSettings(object.text(nameMember), object.text("dataCentre"),
				Addresses.address(object, "operatorAddress"), Addresses.server(object, "platform"),
				object.duration("watchWait", Duration.ofSeconds(1), Duration.ofMinutes(1), Duration.ofSeconds(20)),
				(int) object.integer("auditCapacity", 100, 1_000_000, 10_000));
	}

}
