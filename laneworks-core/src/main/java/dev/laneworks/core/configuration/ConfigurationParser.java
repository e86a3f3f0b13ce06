package dev.laneworks.core.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

import dev.laneworks.core.document.DocumentObject;
import dev.laneworks.core.document.DocumentReader;
import dev.laneworks.core.document.InvalidDocumentException;
import io.vavr.control.Either;

/**
 * Parses and validates a complete configuration document.
 *
 * @since 0.1
 */
public final class ConfigurationParser {

	private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");

	private static final Pattern ADDRESS = Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}|\\[[0-9a-f:]+]):(\\d{1,5})");

	private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");

	private static final int MAX_PRIORITY = 9;

	private static final Duration DEFAULT_RETRY_WINDOW = Duration.ofMinutes(10);

	private static final Duration DEFAULT_VIEW_AGE = Duration.ofMinutes(2);

	private static final Duration DEFAULT_STALENESS = Duration.ofMinutes(5);

	private static final Duration MAX_WINDOW = Duration.ofDays(1);

	private final Set<String> served = new HashSet<>();

	private final Set<String> serviceNames = new HashSet<>();

	private final Set<String> dataCentres = new HashSet<>();

	private final Set<String> accountNames = new HashSet<>();

	private ConfigurationParser() {
	}

	/**
	 * Parse and validate a document.
	 * @param source the name of the document's source, for error messages
	 * @param text the document, JSON with comments
	 * @return the configuration, or an exception with the faults that were found
	 */
	public static Either<InvalidDocumentException, FleetConfiguration> parse(String source, String text) {
		return DocumentReader.read(source, text, (root) -> new ConfigurationParser().configuration(root));
	}

	private FleetConfiguration configuration(DocumentObject root) {
		long version = root.integer("version", 1, Long.MAX_VALUE);
		KeyRetention keyRetention = keyTimes(root.object("keys"));
		List<ServiceDescription> services = services(root.objects("services"));
		List<TargetDescription> targets = targets(root.objects("targets"));
		List<AccountDescription> accounts = accounts(root.objects("accounts"));
		List<Intent> intents = intents(root.objects("intents"));
		return new FleetConfiguration(version, keyRetention, targets, services, accounts, intents);
	}

	private static KeyRetention keyTimes(DocumentObject keys) {
		Duration minimum = Duration.ofSeconds(1);
		return new KeyRetention(keys.duration("retryWindow", minimum, MAX_WINDOW, DEFAULT_RETRY_WINDOW),
				keys.duration("viewAge", minimum, MAX_WINDOW, DEFAULT_VIEW_AGE),
				keys.duration("serviceStaleness", minimum, MAX_WINDOW, DEFAULT_STALENESS));
	}

	private List<ServiceDescription> services(List<DocumentObject> objects) {
		List<ServiceDescription> services = new ArrayList<>();
		for (DocumentObject object : objects) {
			String name = uniqueName(object, this.serviceNames);
			Set<String> methods = new HashSet<>(object.texts("repeatableMethods"));
			services.add(new ServiceDescription(name, methods, object.texts("oncePaths")));
		}
		return services;
	}

	private List<TargetDescription> targets(List<DocumentObject> objects) {
		List<TargetDescription> targets = new ArrayList<>();
		Set<String> names = new HashSet<>();
		for (DocumentObject object : objects) {
			targets.add(target(object, names));
		}
		return targets;
	}

	private TargetDescription target(DocumentObject object, Set<String> names) {
		String name = uniqueName(object, names);
		String dataCentre = name(object, "dataCentre");
		String region = object.has("region") ? name(object, "region") : dataCentre;
		String address = object.text("address");
		var matcher = ADDRESS.matcher(address);
		if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > 65535) {
			throw object.invalid("address",
					"must be an IP number and a port such as \"10.0.0.7:7400\" but is \"" + address + '"');
		}
		List<String> serves = object.texts("serves");
		if (serves.isEmpty()) {
			throw object.invalid("serves", "must name at least one model or service");
		}
		long services = serves.stream().filter(this.serviceNames::contains).count();
		if (services != 0 && serves.size() != 1) {
			throw object.invalid("serves", "must name models only, or one service alone");
		}
		this.served.addAll(serves);
		this.dataCentres.add(dataCentre);
		String host = matcher.group(1).replace("[", "").replace("]", "");
		return new TargetDescription(name, region, dataCentre, host, Integer.parseInt(matcher.group(2)),
				Set.copyOf(serves));
	}

	private List<AccountDescription> accounts(List<DocumentObject> objects) {
		List<AccountDescription> accounts = new ArrayList<>();
		Set<String> digests = new HashSet<>();
		for (DocumentObject object : objects) {
			String name = uniqueName(object, this.accountNames);
			String digest = object.text("keyDigest");
			if (!DIGEST.matcher(digest).matches()) {
				throw object.invalid("keyDigest",
						"must be the SHA-256 of the API key as 64 lower-case hexadecimal digits");
			}
			if (!digests.add(digest)) {
				throw object.invalid("keyDigest", "is also used by another account");
			}
			accounts.add(new AccountDescription(name, digest, object.number("weight", 0.01, 100, 1)));
		}
		return accounts;
	}

	private List<Intent> intents(List<DocumentObject> objects) {
		List<Intent> intents = new ArrayList<>();
		Set<String> seen = new HashSet<>();
		for (DocumentObject object : objects) {
			Intent intent = intent(object);
			if (!seen.add(intent.account() + ' ' + intent.model())) {
				throw object.invalid("model", "already has an intent for account " + intent.account());
			}
			intents.add(intent);
		}
		return intents;
	}

	private Intent intent(DocumentObject object) {
		String account = object.text("account", Intent.ANY_ACCOUNT);
		if (!account.equals(Intent.ANY_ACCOUNT) && !this.accountNames.contains(account)) {
			throw object.invalid("account", "names an unknown account; \"" + account + "\" is not in accounts");
		}
		String model = object.text("model");
		if (!this.served.contains(model)) {
			throw object.invalid("model", "names \"" + model + "\", which no target serves");
		}
		Optional<List<String>> centres = object.has("dataCentres") ? Optional.of(object.texts("dataCentres"))
				: Optional.empty();
		for (String centre : centres.orElse(List.of())) {
			if (!this.dataCentres.contains(centre)) {
				throw object.invalid("dataCentres", "names \"" + centre + "\", which has no target");
			}
		}
		return new Intent(account, model, object.text("adapter", ""), object.text("modelVersion", "1"),
				(int) object.integer("priority", 0, MAX_PRIORITY, 1), centres,
				object.enumValue("spill", SpillRule.class, SpillRule.REGION), object.bool("repeatable", true));
	}

	private static String uniqueName(DocumentObject object, Set<String> names) {
		String name = name(object, "name");
		if (!names.add(name)) {
			throw object.invalid("name", "\"" + name + "\" is given twice");
		}
		return name;
	}

	private static String name(DocumentObject object, String member) {
		String name = object.text(member);
		if (!NAME.matcher(name).matches()) {
			throw object.invalid(member,
					"must be up to 63 lower-case letters, digits, dots, hyphens or underscores but is \"" + name + '"');
		}
		return name;
	}

}
