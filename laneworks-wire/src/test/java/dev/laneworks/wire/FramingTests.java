package dev.laneworks.wire;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import com.google.protobuf.ByteString;
import dev.laneworks.core.message.ConfigurationMessage;
import dev.laneworks.core.message.EntryMessage;
import dev.laneworks.core.message.FinishReason;
import dev.laneworks.core.message.IdempotencyKey;
import dev.laneworks.core.message.OperationKind;
import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.core.message.SidecarRequest;
import dev.laneworks.core.message.StreamId;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.RefusalReason;
import dev.laneworks.wire.proto.Protocol;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests framing and {@link FrameCodec} with split, interleaved, corrupt and truncated
 * frames.
 */
class FramingTests {

	private static final int MAX_FRAME = 64 * 1024;

	@Property(seed = "6", tries = 200)
	void decodesFramesFromArbitrarySplits(@ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int count) {
		SplittableRandom random = new SplittableRandom(seed);
		List<SidecarMessage> sent = new ArrayList<>();
		ByteBuf bytes = Unpooled.buffer();
		EmbeddedChannel encoder = new EmbeddedChannel(new LengthFieldPrepender(4), new ProtobufEncoder());
		for (int i = 0; i < count; i++) {
			SidecarMessage message = message(random);
			sent.add(message);
			encoder.writeOutbound(FrameCodec.encode(message));
			for (ByteBuf part = encoder.readOutbound(); part != null; part = encoder.readOutbound()) {
				bytes.writeBytes(part);
				part.release();
			}
		}
		EmbeddedChannel decoder = decoder();
		while (bytes.isReadable()) {
			int length = Math.min(bytes.readableBytes(), 1 + random.nextInt(50));
			decoder.writeInbound(bytes.readBytes(length));
		}
		for (SidecarMessage message : sent) {
			Protocol.Frame frame = decoder.readInbound();
			assertThat(describe(FrameCodec.decodeSidecarMessage(frame).orElseThrow())).isEqualTo(describe(message));
		}
		assertThat((Object) decoder.readInbound()).isNull();
		bytes.release();
	}

	@Property(seed = "7", tries = 500)
	void corruptBytesAreRejectedOrDecodeToSomeFrame(@ForAll @Size(max = 200) byte[] garbage) {
		EmbeddedChannel decoder = decoder();
		try {
			decoder.writeInbound(Unpooled.wrappedBuffer(garbage));
			for (Protocol.Frame frame = decoder.readInbound(); frame != null; frame = decoder.readInbound()) {
				FrameCodec.decodeEntryMessage(frame);
				FrameCodec.decodeSidecarMessage(frame);
				FrameCodec.decodeConfigurationMessage(frame);
			}
		}
		catch (InvalidFrameException | DecoderException ex) {
			// Expected for corrupt bytes; the link handler then closes the link.
		}
	}

	@Test
	void rejectsFrameAboveMaximumSize() {
		ByteBuf head = Unpooled.buffer().writeInt(MAX_FRAME + 1);
		assertThrows(TooLongFrameException.class, () -> decoder().writeInbound(head));
	}

	@Test
	void doesNotDeliverTruncatedFrame() {
		EmbeddedChannel decoder = decoder();
		decoder.writeInbound(Unpooled.buffer().writeInt(10).writeBytes(new byte[9]));
		assertThat((Object) decoder.readInbound()).isNull();
	}

	@Property(seed = "8", tries = 100)
	void decodesEncodedEntryMessages(@ForAll long call, @ForAll @IntRange(min = 1) int attempt,
			@ForAll @Size(max = 100) byte[] body, @ForAll boolean hasKey) {
		Optional<IdempotencyKey> key = hasKey ? Optional.of(new IdempotencyKey("a", "k", call)) : Optional.empty();
		SidecarRequest request = new SidecarRequest("r", OperationKind.CHAT, "a", "m", "POST", "/p", body, 3, !hasKey,
				key, 7, 9, 1_000);
		EntryMessage.Submit submit = new EntryMessage.Submit(new StreamId(call, attempt), request, 12);
		EntryMessage.Submit decoded = (EntryMessage.Submit) FrameCodec
			.decodeEntryMessage(FrameCodec.encode((EntryMessage) submit))
			.orElseThrow();
		assertThat(decoded.stream()).isEqualTo(submit.stream());
		assertThat(decoded.work().body()).isEqualTo(body);
		assertThat(decoded.work().idempotencyKey()).isEqualTo(key);
		assertThat(decoded.work().callerTimeoutMillis()).isEqualTo(1_000);
		for (EntryMessage message : List.of(new EntryMessage.Attach(new StreamId(call, attempt), "g", call, 5, 6),
				new EntryMessage.Revoke(new StreamId(call, attempt), "n", "g", call),
				new EntryMessage.Release(new StreamId(call, attempt), hasKey),
				new EntryMessage.Credit(new StreamId(call, attempt), 99), new EntryMessage.Probe())) {
			assertThat(FrameCodec.decodeEntryMessage(FrameCodec.encode(message)).orElseThrow()).isEqualTo(message);
		}
	}

	@Test
	void decodesConfigurationAndVerifiesItsDigest() {
		String document = "{\"version\": 7} // ".concat("x".repeat(10_000));
		Protocol.Frame frame = FrameCodec.encode(new ConfigurationMessage.Document(7, document));
		assertThat(frame.getSerializedSize()).isLessThan(1_000);
		assertThat(FrameCodec.decodeConfigurationMessage(frame).orElseThrow())
			.isEqualTo(new ConfigurationMessage.Document(7, document));
		Protocol.Frame other = frame.toBuilder()
			.setConfigurationText(frame.getConfigurationText().toBuilder().setDigest(ByteString.copyFromUtf8("x")))
			.build();
		assertThrows(InvalidFrameException.class, () -> FrameCodec.decodeConfigurationMessage(other));
	}

	@Test
	void rejectsOtherProtocolVersion() {
		Protocol.Frame hello = Protocol.Frame.newBuilder()
			.setHello(Protocol.Hello.newBuilder().setProtocol(2).setName("x"))
			.build();
		InvalidFrameException exception = assertThrows(InvalidFrameException.class,
				() -> FrameCodec.decodeHello(hello));
		assertThat(exception).hasMessageThat().contains("version 2; this process uses version 1");
	}

	private static EmbeddedChannel decoder() {
		return new EmbeddedChannel(new LengthFieldBasedFrameDecoder(MAX_FRAME, 0, 4, 0, 4),
				new ProtobufDecoder(Protocol.Frame.getDefaultInstance()));
	}

	private static SidecarMessage message(SplittableRandom random) {
		StreamId stream = new StreamId(random.nextLong(Long.MAX_VALUE), 1 + random.nextInt(5));
		byte[] data = ("token " + random.nextInt()).repeat(random.nextInt(20)).getBytes(StandardCharsets.UTF_8);
		return switch (random.nextInt(4)) {
			case 0 -> new SidecarMessage.Accepted(stream, "g", 3);
			case 1 -> new SidecarMessage.End(stream, random.nextInt(100), FinishReason.LENGTH);
			case 2 -> new SidecarMessage.Refused(stream,
					Refusal.notRun(RefusalReason.OVERLOADED, "full", Duration.ofMillis(random.nextInt(9))));
			default -> new SidecarMessage.Chunk(stream, random.nextInt(1_000), data);
		};
	}

	private static String describe(SidecarMessage message) {
		return (message instanceof SidecarMessage.Chunk chunk)
				? chunk.stream() + " " + chunk.offset() + new String(chunk.data(), StandardCharsets.UTF_8)
				: message.toString();
	}

}
