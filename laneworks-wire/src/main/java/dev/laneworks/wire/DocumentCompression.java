package dev.laneworks.wire;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

import com.google.protobuf.ByteString;

/**
 * Compresses configuration documents for transfer between peers.
 */
final class DocumentCompression {

	/** Limits the memory that a received document may take. */
	static final int MAX_DOCUMENT_BYTES = 4 << 20;

	private static final int BUFFER_BYTES = 8192;

	private DocumentCompression() {
	}

	static ByteString deflate(String text) {
		Deflater deflater = new Deflater(Deflater.BEST_SPEED);
		try {
			deflater.setInput(text.getBytes(StandardCharsets.UTF_8));
			deflater.finish();
			ByteArrayOutputStream out = new ByteArrayOutputStream();
			byte[] buffer = new byte[BUFFER_BYTES];
			while (!deflater.finished()) {
				out.write(buffer, 0, deflater.deflate(buffer));
			}
			return ByteString.copyFrom(out.toByteArray());
		}
		finally {
			deflater.end();
		}
	}

	static String inflate(ByteString deflated, ByteString digest) {
		byte[] document = inflate(deflated.toByteArray());
		if (!digest(document).equals(digest)) {
			throw new InvalidFrameException("the configuration does not match its digest");
		}
		return new String(document, StandardCharsets.UTF_8);
	}

	static ByteString digest(byte[] document) {
		try {
			return ByteString.copyFrom(MessageDigest.getInstance("SHA-256").digest(document));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is missing from this Java runtime", ex);
		}
	}

	private static byte[] inflate(byte[] deflated) {
		Inflater inflater = new Inflater();
		try {
			inflater.setInput(deflated);
			ByteArrayOutputStream out = new ByteArrayOutputStream();
			byte[] buffer = new byte[BUFFER_BYTES];
			while (!inflater.finished()) {
				int count = inflater.inflate(buffer);
				if (count == 0 && inflater.needsInput()) {
					throw new InvalidFrameException("the compressed configuration is truncated");
				}
				out.write(buffer, 0, count);
				if (out.size() > MAX_DOCUMENT_BYTES) {
					throw new InvalidFrameException(
							"the configuration is larger than " + MAX_DOCUMENT_BYTES + " bytes");
				}
			}
			return out.toByteArray();
		}
		catch (DataFormatException ex) {
			throw new InvalidFrameException("the configuration cannot be decompressed", ex);
		}
		finally {
			inflater.end();
		}
	}

}
