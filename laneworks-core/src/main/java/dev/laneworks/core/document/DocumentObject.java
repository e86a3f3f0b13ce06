package dev.laneworks.core.document;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An object in a document, read member by member.
 * <p>
 * A method that finds an invalid value records the fault with its line and path and
 * returns a placeholder, so that reading continues and all faults are reported at once.
 * Members that no method has read are unknown, which {@link #checkUnknownMembers()}
 * reports. Not thread-safe.
 *
 * @since 0.1
 */
public final class DocumentObject {

	private static final Pattern DURATION = Pattern.compile("(\\d{1,9})(ms|s|m|h|d)");

	private static final Pattern SIZE = Pattern.compile("(\\d{1,9})(B|KiB|MiB|GiB)");

	/** Replaces a string that is missing or invalid. */
	private static final String PLACEHOLDER = "?";

	private final String source;

	private final String path;

	private final DocumentNode.ObjectNode node;

	private final Set<String> requestedMembers = new LinkedHashSet<>();

	private final List<DocumentObject> children = new ArrayList<>();

	/** All faults found in the document so far, shared by all its objects. */
	private final List<InvalidDocumentException> faults;

	DocumentObject(String source, String path, DocumentNode.ObjectNode node, List<InvalidDocumentException> faults) {
		this.faults = faults;
		this.source = source;
		this.path = path;
		this.node = node;
	}

	/**
	 * Return the line on which the object starts.
	 * @return the line, from 1
	 */
	public int line() {
		return this.node.line();
	}

	/**
	 * Create an exception about a member of this object, without recording it.
	 * @param name the member's name
	 * @param problem what is wrong and what is allowed
	 * @return the exception to throw
	 */
	public InvalidDocumentException invalid(String name, String problem) {
		DocumentNode member = this.node.members().get(name);
		int line = (member != null) ? member.line() : this.node.line();
		return new InvalidDocumentException(this.source, line, pathOf(name), problem);
	}

	/**
	 * Record that a member is invalid, so that reading continues and finds further
	 * faults.
	 * @param <T> the type of the value
	 * @param name the member's name
	 * @param problem what is wrong and what is allowed
	 * @param placeholder the value to continue with; the result of an invalid document is
	 * discarded
	 * @return the placeholder
	 */
	public <T> T invalid(String name, String problem, T placeholder) {
		return fault(invalid(name, problem), placeholder);
	}

	/**
	 * Determine whether a member is present.
	 * @param name the member's name
	 * @return {@code true} if it is present and not null
	 */
	public boolean has(String name) {
		this.requestedMembers.add(name);
		DocumentNode member = this.node.members().get(name);
		return member != null && !(member instanceof DocumentNode.NullNode);
	}

	/**
	 * Read a string that must be present and not empty.
	 * @param name the member's name
	 * @return the string
	 */
	public String text(String name) {
		if (!has(name)) {
			return fault(missing(name, "a string"), PLACEHOLDER);
		}
		DocumentNode member = this.node.members().get(name);
		if (!(member instanceof DocumentNode.TextNode text)) {
			return fault(wrongType(name, "a string", member), PLACEHOLDER);
		}
		return text.value().isBlank() ? invalid(name, "must not be empty", PLACEHOLDER) : text.value();
	}

	/**
	 * Read a string that may be missing.
	 * @param name the member's name
	 * @return the string, or empty
	 */
	public Optional<String> optionalText(String name) {
		return has(name) ? Optional.of(text(name)) : Optional.empty();
	}

	/**
	 * Read a string with a default.
	 * @param name the member's name
	 * @param fallback the value if the member is missing
	 * @return the string
	 */
	public String text(String name, String fallback) {
		return optionalText(name).orElse(fallback);
	}

	/**
	 * Read a required integer.
	 * @param name the member's name
	 * @param min the smallest allowed value
	 * @param max the largest allowed value
	 * @return the number
	 */
	public long integer(String name, long min, long max) {
		String range = "a whole number from " + min + " to " + max;
		if (!has(name)) {
			return fault(missing(name, range), min);
		}
		DocumentNode member = this.node.members().get(name);
		if (!(member instanceof DocumentNode.NumberNode number)) {
			return fault(wrongType(name, range, member), min);
		}
		long value;
		try {
			value = Long.parseLong(number.text());
		}
		catch (NumberFormatException ex) {
			return fault(wrongType(name, range, member), min);
		}
		return (value < min || value > max) ? fault(wrongType(name, range, member), min) : value;
	}

	/**
	 * Read an integer with a default.
	 * @param name the member's name
	 * @param min the smallest allowed value
	 * @param max the largest allowed value
	 * @param fallback the value if the member is missing
	 * @return the number
	 */
	public long integer(String name, long min, long max, long fallback) {
		return has(name) ? integer(name, min, max) : fallback;
	}

	/**
	 * Read a number with a default.
	 * @param name the member's name
	 * @param min the smallest allowed value
	 * @param max the largest allowed value
	 * @param fallback the value if the member is missing
	 * @return the number
	 */
	public double number(String name, double min, double max, double fallback) {
		if (!has(name)) {
			return fallback;
		}
		String range = "a number from " + min + " to " + max;
		DocumentNode member = this.node.members().get(name);
		if (!(member instanceof DocumentNode.NumberNode number)) {
			return fault(wrongType(name, range, member), fallback);
		}
		double value = Double.parseDouble(number.text());
		if (!(value >= min && value <= max)) {
			return fault(wrongType(name, range, member), fallback);
		}
		return value;
	}

	/**
	 * Read a boolean with a default.
	 * @param name the member's name
	 * @param fallback the value if the member is missing
	 * @return the boolean
	 */
	public boolean bool(String name, boolean fallback) {
		if (!has(name)) {
			return fallback;
		}
		DocumentNode member = this.node.members().get(name);
		if (!(member instanceof DocumentNode.BooleanNode bool)) {
			return fault(wrongType(name, "true or false", member), fallback);
		}
		return bool.value();
	}

	/**
	 * Read a duration such as {@code "250ms"}, {@code "5s"}, {@code "10m"}, {@code "1h"}
	 * or {@code "1d"}.
	 * @param name the member's name
	 * @param min the smallest allowed value
	 * @param max the largest allowed value
	 * @param fallback the value if the member is missing
	 * @return the duration
	 */
	public Duration duration(String name, Duration min, Duration max, Duration fallback) {
		if (!has(name)) {
			return fallback;
		}
		String range = "a duration from " + format(min) + " to " + format(max) + " such as \"5s\" (ms, s, m, h, d)";
		DocumentNode member = this.node.members().get(name);
		if (!(member instanceof DocumentNode.TextNode text)) {
			return fault(wrongType(name, range, member), fallback);
		}
		Matcher matcher = DURATION.matcher(text.value());
		if (!matcher.matches()) {
			return fault(wrongType(name, range, member), fallback);
		}
		Duration value = duration(Long.parseLong(matcher.group(1)), matcher.group(2));
		if (value.compareTo(min) < 0 || value.compareTo(max) > 0) {
			return fault(wrongType(name, range, member), fallback);
		}
		return value;
	}

	/**
	 * Read a size in bytes such as {@code "512B"}, {@code "64KiB"} or {@code "1MiB"}.
	 * @param name the member's name
	 * @param min the smallest allowed value in bytes
	 * @param max the largest allowed value in bytes
	 * @param fallback the value in bytes if the member is missing
	 * @return the size in bytes
	 */
	public long size(String name, long min, long max, long fallback) {
		if (!has(name)) {
			return fallback;
		}
		String range = "a size from " + min + "B to " + max + "B such as \"64KiB\" (B, KiB, MiB, GiB)";
		DocumentNode member = this.node.members().get(name);
		if (!(member instanceof DocumentNode.TextNode text)) {
			return fault(wrongType(name, range, member), fallback);
		}
		Matcher matcher = SIZE.matcher(text.value());
		if (!matcher.matches()) {
			return fault(wrongType(name, range, member), fallback);
		}
		long value = Long.parseLong(matcher.group(1)) << sizeShift(matcher.group(2));
		if (value < min || value > max) {
			return fault(wrongType(name, range, member), fallback);
		}
		return value;
	}

	/**
	 * Read an enum constant, written in lower case with hyphens.
	 * @param <E> the enum type
	 * @param name the member's name
	 * @param type the class of the enum
	 * @param fallback the value if the member is missing
	 * @return the constant
	 */
	public <E extends Enum<E>> E enumValue(String name, Class<E> type, E fallback) {
		if (!has(name)) {
			return fallback;
		}
		List<String> words = Arrays.stream(type.getEnumConstants()).map(DocumentObject::label).toList();
		int index = words.indexOf(text(name));
		if (index < 0) {
			return fault(wrongType(name, "one of " + String.join(", ", words), this.node.members().get(name)),
					fallback);
		}
		return type.getEnumConstants()[index];
	}

	/**
	 * Read an object. A missing one reads as empty.
	 * @param name the member's name
	 * @return the object
	 */
	public DocumentObject object(String name) {
		DocumentNode member = has(name) ? this.node.members().get(name)
				: new DocumentNode.ObjectNode(this.node.line(), Map.of());
		return child(name, name, member);
	}

	/**
	 * Read an array of objects. A missing one reads as empty.
	 * @param name the member's name
	 * @return the objects in the document's order
	 */
	public List<DocumentObject> objects(String name) {
		List<DocumentObject> objects = new ArrayList<>();
		int index = 0;
		for (DocumentNode element : elements(name)) {
			objects.add(child(name, name + '[' + index++ + ']', element));
		}
		return objects;
	}

	/**
	 * Read an array of strings. A missing one reads as empty.
	 * @param name the member's name
	 * @return the strings in the document's order
	 */
	public List<String> texts(String name) {
		List<String> texts = new ArrayList<>();
		for (DocumentNode element : elements(name)) {
			if (!(element instanceof DocumentNode.TextNode text)) {
				return fault(wrongType(name, "an array of strings", element), List.of());
			}
			texts.add(text.value());
		}
		return List.copyOf(texts);
	}

	/**
	 * Record a fault for each member of this object, and of the objects read from it,
	 * that no method has read.
	 */
	public void checkUnknownMembers() {
		for (var member : this.node.members().entrySet()) {
			if (!this.requestedMembers.contains(member.getKey())) {
				record(invalid(member.getKey(),
						"is unknown; allowed here: " + String.join(", ", this.requestedMembers)));
			}
		}
		this.children.forEach(DocumentObject::checkUnknownMembers);
	}

	// The placeholder of an invalid object is empty, and its faults are discarded.
	private DocumentObject child(String name, String childName, DocumentNode member) {
		if (!(member instanceof DocumentNode.ObjectNode object)) {
			DocumentNode.ObjectNode empty = new DocumentNode.ObjectNode(member.line(), Map.of());
			return fault(wrongType(name, "an object", member),
					new DocumentObject(this.source, pathOf(childName), empty, new ArrayList<>()));
		}
		DocumentObject child = new DocumentObject(this.source, pathOf(childName), object, this.faults);
		this.children.add(child);
		return child;
	}

	private List<DocumentNode> elements(String name) {
		if (!has(name)) {
			return List.of();
		}
		DocumentNode member = this.node.members().get(name);
		if (!(member instanceof DocumentNode.ArrayNode array)) {
			return fault(wrongType(name, "an array", member), List.of());
		}
		return array.elements();
	}

	private InvalidDocumentException missing(String name, String expected) {
		return invalid(name, "is missing; it must be " + expected);
	}

	private <T> T fault(InvalidDocumentException fault, T placeholder) {
		record(fault);
		return placeholder;
	}

	// Each setting is reported once.
	private void record(InvalidDocumentException fault) {
		if (this.faults.stream().noneMatch((f) -> f.getSetting().equals(fault.getSetting()))) {
			this.faults.add(fault);
		}
	}

	private InvalidDocumentException wrongType(String name, String expected, DocumentNode actual) {
		return new InvalidDocumentException(this.source, actual.line(), pathOf(name),
				"must be " + expected + " but is " + actual.description());
	}

	private String pathOf(String name) {
		return this.path.isEmpty() ? name : this.path + '.' + name;
	}

	private static Duration duration(long amount, String unit) {
		return switch (unit) {
			case "ms" -> Duration.ofMillis(amount);
			case "s" -> Duration.ofSeconds(amount);
			case "m" -> Duration.ofMinutes(amount);
			case "h" -> Duration.ofHours(amount);
			default -> Duration.ofDays(amount);
		};
	}

	private static int sizeShift(String unit) {
		return switch (unit) {
			case "KiB" -> 10;
			case "MiB" -> 20;
			case "GiB" -> 30;
			default -> 0;
		};
	}

	private static String format(Duration duration) {
		return (duration.toMillis() % 1000 != 0) ? duration.toMillis() + "ms" : duration.toSeconds() + "s";
	}

	private static String label(Enum<?> word) {
		return word.name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
