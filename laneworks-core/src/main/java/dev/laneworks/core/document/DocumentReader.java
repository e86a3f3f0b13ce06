package dev.laneworks.core.document;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import io.vavr.control.Either;

/**
 * Reads JSON with comments and trailing commas, and records the line of each value.
 *
 * @since 0.1
 */
public final class DocumentReader {

	private static final JsonFactory FACTORY = JsonFactory.builder()
		.enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
		.enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
		.build();

	private DocumentReader() {
	}

	/**
	 * Read a document whose top-level value is an object.
	 * @param <T> the type of the result
	 * @param source the document's name, for error messages
	 * @param text the document
	 * @param mapping creates the result from the object; unknown members are checked
	 * after it
	 * @return the result, or one exception with all faults
	 */
	public static <T> Either<InvalidDocumentException, T> read(String source, String text,
			Function<DocumentObject, T> mapping) {
		List<InvalidDocumentException> faults = new ArrayList<>();
		T value = null;
		try {
			DocumentObject root = new DocumentObject(source, "", parse(source, text), faults);
			value = mapping.apply(root);
			root.checkUnknownMembers();
		}
		catch (InvalidDocumentException ex) {
			addUnlessConsequence(faults, ex);
		}
		catch (IllegalArgumentException ex) {
			// Thrown for a placeholder, whose fault was recorded before.
			if (faults.isEmpty()) {
				throw ex;
			}
		}
		return faults.isEmpty() ? Either.right(value) : Either.left(InvalidDocumentException.of(faults));
	}

	// An exception after other faults may be caused by a placeholder. If it is not, it
	// is thrown again once those are corrected.
	private static void addUnlessConsequence(List<InvalidDocumentException> faults, InvalidDocumentException thrown) {
		if (faults.isEmpty()) {
			faults.add(thrown);
		}
	}

	private static DocumentNode.ObjectNode parse(String source, String text) {
		try (JsonParser parser = FACTORY.createParser(text)) {
			parser.nextToken();
			if (parser.currentToken() == null) {
				throw new InvalidDocumentException(source, 1, "document", "is empty; an object is needed");
			}
			DocumentNode node = parseValue(source, parser);
			if (parser.nextToken() != null) {
				throw new InvalidDocumentException(source, line(parser), "document", "has text after its end");
			}
			if (node instanceof DocumentNode.ObjectNode object) {
				return object;
			}
			throw new InvalidDocumentException(source, node.line(), "document",
					"must be an object but is " + node.description());
		}
		catch (JsonProcessingException ex) {
			int line = (ex.getLocation() != null) ? Math.max(1, ex.getLocation().getLineNr()) : 1;
			throw new InvalidDocumentException(source, line, "document", "is not JSON: " + ex.getOriginalMessage());
		}
		catch (IOException ex) {
			throw new InvalidDocumentException(source, 1, "document", "cannot be read: " + ex.getMessage());
		}
	}

	private static DocumentNode parseValue(String source, JsonParser parser) throws IOException {
		int line = line(parser);
		JsonToken token = parser.currentToken();
		return switch (token) {
			case START_OBJECT -> parseObject(source, parser, line);
			case START_ARRAY -> parseArray(source, parser, line);
			case VALUE_STRING -> new DocumentNode.TextNode(line, parser.getText());
			case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> new DocumentNode.NumberNode(line, parser.getText());
			case VALUE_TRUE -> new DocumentNode.BooleanNode(line, true);
			case VALUE_FALSE -> new DocumentNode.BooleanNode(line, false);
			case VALUE_NULL -> new DocumentNode.NullNode(line);
			default -> throw new InvalidDocumentException(source, line, "document", "has an unexpected " + token);
		};
	}

	private static DocumentNode parseObject(String source, JsonParser parser, int line) throws IOException {
		Map<String, DocumentNode> members = new LinkedHashMap<>();
		while (parser.nextToken() != JsonToken.END_OBJECT) {
			String name = parser.currentName();
			int nameLine = line(parser);
			parser.nextToken();
			if (members.put(name, parseValue(source, parser)) != null) {
				throw new InvalidDocumentException(source, nameLine, name, "is given twice");
			}
		}
		return new DocumentNode.ObjectNode(line, members);
	}

	private static DocumentNode parseArray(String source, JsonParser parser, int line) throws IOException {
		List<DocumentNode> elements = new ArrayList<>();
		while (parser.nextToken() != JsonToken.END_ARRAY) {
			elements.add(parseValue(source, parser));
		}
		return new DocumentNode.ArrayNode(line, elements);
	}

	private static int line(JsonParser parser) {
		return parser.currentTokenLocation().getLineNr();
	}

}
