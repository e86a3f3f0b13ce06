package dev.laneworks.core.document;

import java.util.List;
import java.util.Map;

/**
 * A value of a document with its line.
 */
sealed interface DocumentNode {

	/**
	 * Return the line on which the value starts.
	 * @return the line, from 1
	 */
	int line();

	/**
	 * Return what the value is, for messages.
	 * @return a noun with its article
	 */
	String description();

	/**
	 * An object.
	 *
	 * @param line the line
	 * @param members the members in their order
	 */
	record ObjectNode(int line, Map<String, DocumentNode> members) implements DocumentNode {

		@Override
		public String description() {
			return "an object";
		}

	}

	/**
	 * An array.
	 *
	 * @param line the line
	 * @param elements the elements
	 */
	record ArrayNode(int line, List<DocumentNode> elements) implements DocumentNode {

		@Override
		public String description() {
			return "an array";
		}

	}

	/**
	 * A string.
	 *
	 * @param line the line
	 * @param value the value
	 */
	record TextNode(int line, String value) implements DocumentNode {

		@Override
		public String description() {
			return "the string \"" + this.value + '"';
		}

	}

	/**
	 * A number.
	 *
	 * @param line the line
	 * @param text the number as written
	 */
	record NumberNode(int line, String text) implements DocumentNode {

		@Override
		public String description() {
			return "the number " + this.text;
		}

	}

	/**
	 * A truth value.
	 *
	 * @param line the line
	 * @param value the value
	 */
	record BooleanNode(int line, boolean value) implements DocumentNode {

		@Override
		public String description() {
			return String.valueOf(this.value);
		}

	}

	/**
	 * A null.
	 *
	 * @param line the line
	 */
	record NullNode(int line) implements DocumentNode {

		@Override
		public String description() {
			return "null";
		}

	}

}
