package dev.laneworks.runtime.http;

import java.io.IOException;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Reads and writes JSON in the bodies of HTTP requests and responses. Thread-safe.
 *
 * @since 0.1
 */
public final class JsonText {

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.serializationInclusion(JsonInclude.Include.NON_NULL)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.build();

	private JsonText() {
	}

	/**
	 * Create a JSON object.
	 * @return an empty, mutable object
	 */
	public static ObjectNode object() {
		return MAPPER.createObjectNode();
	}

	/**
	 * Write a value as JSON.
	 * @param value the value, such as a record; {@code null} members are left out
	 * @return the JSON text
	 * @throws IllegalArgumentException if the value has no JSON representation
	 */
	public static String write(Object value) {
		try {
			return MAPPER.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("cannot be written as JSON: " + value.getClass(), ex);
		}
	}

	/**
	 * Parse encoded JSON text.
	 * @param text the JSON text, encoded as UTF-8
	 * @return the parsed value
	 * @throws IOException if the text is not valid JSON or has trailing content
	 */
	public static JsonNode read(byte[] text) throws IOException {
		return MAPPER.readTree(text);
	}

	/**
	 * Parse JSON text.
	 * @param text the JSON text
	 * @return the parsed value
	 * @throws IOException if the text is not valid JSON or has trailing content
	 */
	public static JsonNode read(String text) throws IOException {
		return MAPPER.readTree(text);
	}

}
