package dev.laneworks.core.document;

import java.util.List;
import java.util.Map;

/**
 * A value in a document, with the line on which it starts.
 */
sealed interface DocumentNode {

	/**
	 * Return the line on which the value starts.
	 * @return the line, from 1
	 */
	int line();

	/**
	 * Describe the value for error messages.
	 * @return the type and, for simple values, the content
	 */
	String description();

	/**
	 * An object.
	 *
	 * @param line the line on which it starts, from 1
	 * @param members the members in the document's order
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
	 * @param line the line on which it starts, from 1
	 * @param elements the elements in the document's order
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
	 * @param line the line on which it starts, from 1
	 * @param value the string without quotes
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
	 * @param line the line on which it starts, from 1
	 * @param text the number as written in the document
	 */
	record NumberNode(int line, String text) implements DocumentNode {

		@Override
		public String description() {
			return "the number " + this.text;
		}

	}

	/**
	 * A boolean.
	 *
	 * @param line the line on which it starts, from 1
	 * @param value the boolean
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
	 * @param line the line on which it starts, from 1
	 */
	record NullNode(int line) implements DocumentNode {

		@Override
		public String description() {
			return "null";
		}

	}

}
