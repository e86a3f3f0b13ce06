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
 * Reads and writes the JSON of HTTP bodies.
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
	 * Return an object to be filled.
	 * @return an empty object
	 */
	public static ObjectNode object() {
		return MAPPER.createObjectNode();
	}

	/**
	 * Write a value, such as a record.
	 * @param value the value
	 * @return its JSON
	 */
	public static String write(Object value) {
		try {
			return MAPPER.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("can't be written as JSON: " + value.getClass(), ex);
		}
	}

	/**
	 * Read any JSON.
	 * @param text the JSON
	 * @return the value
	 * @throws IOException if it is not JSON, or if something follows it
	 */
	public static JsonNode read(byte[] text) throws IOException {
		return MAPPER.readTree(text);
	}

	/**
	 * Read any JSON.
	 * @param text the JSON
	 * @return the value
	 * @throws IOException if it is not JSON, or if something follows it
	 */
	public static JsonNode read(String text) throws IOException {
		return MAPPER.readTree(text);
	}

}
