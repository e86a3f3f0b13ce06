package dev.laneworks.wire;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

import com.google.protobuf.UnsafeByteOperations;
import dev.laneworks.core.message.ConfigurationMessage;
import dev.laneworks.core.message.EntryMessage;
import dev.laneworks.core.message.FinishReason;
import dev.laneworks.core.message.IdempotencyKey;
import dev.laneworks.core.message.LoadReport;
import dev.laneworks.core.message.OperationKind;
import dev.laneworks.core.message.RevocationOutcome;
import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.core.message.SidecarRequest;
import dev.laneworks.core.message.StreamId;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.RefusalReason;
import dev.laneworks.core.verdict.Verdict;
import dev.laneworks.wire.proto.Protocol;

/**
 * Encodes the messages of a link as frames and decodes them.
 * <p>
 * Every decoding method throws an {@link InvalidFrameException} if a field of the frame
 * is out of range.
 *
 * @since 0.1
 */
public final class FrameCodec {

	/** Version of the link protocol; both peers must use the same one. */
	public static final int PROTOCOL_VERSION = 1;

	private FrameCodec() {
	}

	/**
	 * Encode the first frame of a link, which identifies the sender.
	 * @param identity the identity of this process
	 * @return the Hello frame
	 */
	public static Protocol.Frame encode(PeerIdentity identity) {
		return Protocol.Frame.newBuilder()
			.setHello(Protocol.Hello.newBuilder()
				.setProtocol(PROTOCOL_VERSION)
				.setName(identity.name())
				.setDataCentre(identity.dataCentre())
				.setIncarnation(identity.incarnation()))
			.build();
	}

	/**
	 * Decode the first frame of a link, which identifies the peer.
	 * @param frame the first frame received
	 * @return the identity that the peer announces
	 * @throws InvalidFrameException if the frame is not a Hello or has another protocol
	 * version
	 */
	public static PeerIdentity decodeHello(Protocol.Frame frame) {
		if (!frame.hasHello()) {
			throw new InvalidFrameException("the first frame must be a Hello but is " + frame.getBodyCase());
		}
		Protocol.Hello hello = frame.getHello();
		if (hello.getProtocol() != PROTOCOL_VERSION) {
			throw new InvalidFrameException("the peer uses protocol version " + hello.getProtocol()
					+ "; this process uses version " + PROTOCOL_VERSION);
		}
		return new PeerIdentity(hello.getName(), hello.getDataCentre(), hello.getIncarnation());
	}

	/**
	 * Encode a message from an entry.
	 * @param message the message to encode
	 * @return the frame to send
	 */
	public static Protocol.Frame encode(EntryMessage message) {
		Protocol.Frame.Builder frame = Protocol.Frame.newBuilder();
		if (message instanceof EntryMessage.Submit submit) {
			frame.setSubmit(encodeSubmit(submit));
		}
		else if (message instanceof EntryMessage.Attach attach) {
			frame.setAttach(Protocol.Attach.newBuilder()
				.setStream(encode(attach.stream()))
				.setGeneration(attach.generation())
				.setIncarnation(attach.incarnation())
				.setOffset(attach.offset())
				.setCreditLimit(attach.creditLimit()));
		}
		else if (message instanceof EntryMessage.Revoke revoke) {
			frame.setBar(Protocol.Bar.newBuilder()
				.setStream(encode(revoke.stream()))
				.setAttemptName(revoke.attemptName())
				.setGeneration(revoke.generation())
				.setIncarnation(revoke.incarnation()));
		}
		else if (message instanceof EntryMessage.Release release) {
			frame.setRelease(Protocol.Release.newBuilder()
				.setStream(encode(release.stream()))
				.setMayReturn(release.mayResume()));
		}
		else if (message instanceof EntryMessage.Credit credit) {
			frame.setCredit(Protocol.Credit.newBuilder()
				.setStream(encode(credit.stream()))
				.setCreditLimit(credit.creditLimit()));
		}
		else if (message instanceof EntryMessage.Probe) {
			frame.setProbe(Protocol.Probe.getDefaultInstance());
		}
		else if (message instanceof EntryMessage.RevokeKey revokeKey) {
			frame.setBarKey(Protocol.BarKey.newBuilder().setKey(encode(revokeKey.key())));
		}
		return frame.build();
	}

	/**
	 * Decode a message from an entry.
	 * @param frame the received frame
	 * @return the message; empty if the frame holds no message from an entry
	 */
	public static Optional<EntryMessage> decodeEntryMessage(Protocol.Frame frame) {
		EntryMessage message = switch (frame.getBodyCase()) {
			case SUBMIT -> decodeSubmit(frame.getSubmit());
			case ATTACH -> {
				Protocol.Attach attach = frame.getAttach();
				yield new EntryMessage.Attach(decode(attach.getStream()), attach.getGeneration(),
						attach.getIncarnation(), requireNonNegative(attach.getOffset()),
						requireNonNegative(attach.getCreditLimit()));
			}
			case BAR -> {
				Protocol.Bar revocation = frame.getBar();
				yield new EntryMessage.Revoke(decode(revocation.getStream()), revocation.getAttemptName(),
						revocation.getGeneration(), revocation.getIncarnation());
			}
			case RELEASE ->
				new EntryMessage.Release(decode(frame.getRelease().getStream()), frame.getRelease().getMayReturn());
			case CREDIT -> new EntryMessage.Credit(decode(frame.getCredit().getStream()),
					requireNonNegative(frame.getCredit().getCreditLimit()));
			case PROBE -> new EntryMessage.Probe();
			case BAR_KEY -> new EntryMessage.RevokeKey(decode(frame.getBarKey().getKey()));
			default -> null;
		};
		return Optional.ofNullable(message);
	}

	/**
	 * Encode a message from a sidecar.
	 * @param message the message to encode
	 * @return the frame to send
	 */
	public static Protocol.Frame encode(SidecarMessage message) {
		Protocol.Frame.Builder frame = Protocol.Frame.newBuilder();
		if (message instanceof SidecarMessage.Chunk chunk) {
			frame.setChunk(Protocol.Chunk.newBuilder()
				.setStream(encode(chunk.stream()))
				.setOffset(chunk.offset())
				.setData(UnsafeByteOperations.unsafeWrap(chunk.data())));
		}
		else if (message instanceof SidecarMessage.Accepted accepted) {
			frame.setAccepted(Protocol.Accepted.newBuilder()
				.setStream(encode(accepted.stream()))
				.setGeneration(accepted.generation())
				.setQueued(accepted.queued()));
		}
		else if (message instanceof SidecarMessage.End end) {
			frame.setEnd(Protocol.End.newBuilder()
				.setStream(encode(end.stream()))
				.setTotal(end.total())
				.setReason(end.reason().ordinal()));
		}
		else if (message instanceof SidecarMessage.Refused refused) {
			frame.setRefused(encodeRefused(refused));
		}
		else if (message instanceof SidecarMessage.RevokeResult result) {
			frame.setBarResult(Protocol.BarResult.newBuilder()
				.setStream(encode(result.stream()))
				.setOutcome(result.outcome().ordinal()));
		}
		else if (message instanceof SidecarMessage.Load load) {
			frame.setLoad(encodeLoad(load.report()));
		}
		else if (message instanceof SidecarMessage.Shutdown) {
			frame.setFarewell(Protocol.Farewell.getDefaultInstance());
		}
		else if (message instanceof SidecarMessage.KeyRevokeResult result) {
			frame.setKeyBarResult(Protocol.KeyBarResult.newBuilder()
				.setKey(encode(result.key()))
				.setOutcome(result.outcome().ordinal()));
		}
		return frame.build();
	}

	/**
	 * Decode a message from a sidecar.
	 * @param frame the received frame
	 * @return the message; empty if the frame holds no message from a sidecar
	 */
	public static Optional<SidecarMessage> decodeSidecarMessage(Protocol.Frame frame) {
		SidecarMessage message = switch (frame.getBodyCase()) {
			case CHUNK -> {
				Protocol.Chunk chunk = frame.getChunk();
				yield new SidecarMessage.Chunk(decode(chunk.getStream()), requireNonNegative(chunk.getOffset()),
						chunk.getData().toByteArray());
			}
			case ACCEPTED -> {
				Protocol.Accepted accepted = frame.getAccepted();
				yield new SidecarMessage.Accepted(decode(accepted.getStream()), accepted.getGeneration(),
						accepted.getQueued());
			}
			case END -> {
				Protocol.End end = frame.getEnd();
				yield new SidecarMessage.End(decode(end.getStream()), requireNonNegative(end.getTotal()),
						enumConstant(FinishReason.values(), end.getReason()));
			}
			case REFUSED -> decodeRefused(frame.getRefused());
			case BAR_RESULT -> new SidecarMessage.RevokeResult(decode(frame.getBarResult().getStream()),
					enumConstant(RevocationOutcome.values(), frame.getBarResult().getOutcome()));
			case LOAD -> new SidecarMessage.Load(decodeLoad(frame.getLoad()));
			case FAREWELL -> new SidecarMessage.Shutdown();
			case KEY_BAR_RESULT -> new SidecarMessage.KeyRevokeResult(decode(frame.getKeyBarResult().getKey()),
					enumConstant(RevocationOutcome.values(), frame.getKeyBarResult().getOutcome()));
			default -> null;
		};
		return Optional.ofNullable(message);
	}

	/**
	 * Encode a message about the configuration.
	 * @param message the message to encode
	 * @return the frame to send
	 */
	public static Protocol.Frame encode(ConfigurationMessage message) {
		Protocol.Frame.Builder frame = Protocol.Frame.newBuilder();
		if (message instanceof ConfigurationMessage.Notice notice) {
			long age = notice.confirmedAgeMillis();
			frame.setConfigurationNotice(Protocol.ConfigurationNotice.newBuilder()
				.setVersion(notice.version())
				.setConfirmedAgePlusOne((age != Long.MAX_VALUE) ? age + 1 : 0));
		}
		else if (message instanceof ConfigurationMessage.Request) {
			frame.setConfigurationRequest(Protocol.ConfigurationRequest.getDefaultInstance());
		}
		else if (message instanceof ConfigurationMessage.Document text) {
			byte[] document = text.text().getBytes(StandardCharsets.UTF_8);
			frame.setConfigurationText(Protocol.ConfigurationText.newBuilder()
				.setVersion(text.version())
				.setDeflated(DocumentCompression.deflate(text.text()))
				.setDigest(DocumentCompression.digest(document)));
		}
		return frame.build();
	}

	/**
	 * Decode a message about the configuration.
	 * @param frame the received frame
	 * @return the message; empty if the frame holds no message about the configuration
	 */
	public static Optional<ConfigurationMessage> decodeConfigurationMessage(Protocol.Frame frame) {
		ConfigurationMessage message = switch (frame.getBodyCase()) {
			case CONFIGURATION_NOTICE -> {
				Protocol.ConfigurationNotice notice = frame.getConfigurationNotice();
				long age = requireNonNegative(notice.getConfirmedAgePlusOne());
				yield new ConfigurationMessage.Notice(requireNonNegative(notice.getVersion()),
						(age != 0) ? age - 1 : Long.MAX_VALUE);
			}
			case CONFIGURATION_REQUEST -> new ConfigurationMessage.Request();
			case CONFIGURATION_TEXT -> {
				Protocol.ConfigurationText text = frame.getConfigurationText();
				yield new ConfigurationMessage.Document(requireNonNegative(text.getVersion()),
						DocumentCompression.inflate(text.getDeflated(), text.getDigest()));
			}
			default -> null;
		};
		return Optional.ofNullable(message);
	}

	private static Protocol.Submit encodeSubmit(EntryMessage.Submit submit) {
		SidecarRequest request = submit.work();
		Protocol.Submit.Builder builder = Protocol.Submit.newBuilder()
			.setStream(encode(submit.stream()))
			.setRequestId(request.requestId())
			.setKind(request.kind().ordinal())
			.setAccount(request.account())
			.setModel(request.model())
			.setMethod(request.method())
			.setPath(request.path())
			.setBody(UnsafeByteOperations.unsafeWrap(request.body()))
			.setPriority(request.priority())
			.setRepeatable(request.repeatable())
			.setPromptTokens(request.promptTokens())
			.setMaxTokens(request.maxTokens())
			.setPatienceMillis(request.callerTimeoutMillis())
			.setCreditLimit(submit.creditLimit());
		request.idempotencyKey().ifPresent((k) -> builder.setOnceKey(encode(k)));
		return builder.build();
	}

	private static EntryMessage.Submit decodeSubmit(Protocol.Submit submit) {
		Optional<IdempotencyKey> key = submit.hasOnceKey() ? Optional.of(decode(submit.getOnceKey()))
				: Optional.empty();
		try {
			SidecarRequest request = new SidecarRequest(submit.getRequestId(),
					enumConstant(OperationKind.values(), submit.getKind()), submit.getAccount(), submit.getModel(),
					submit.getMethod(), submit.getPath(), submit.getBody().toByteArray(), submit.getPriority(),
					submit.getRepeatable(), key, submit.getPromptTokens(), submit.getMaxTokens(),
					requireNonNegative(submit.getPatienceMillis()));
			return new EntryMessage.Submit(decode(submit.getStream()), request,
					requireNonNegative(submit.getCreditLimit()));
		}
		catch (IllegalArgumentException ex) {
			throw new InvalidFrameException("the request is invalid: " + ex.getMessage(), ex);
		}
	}

	private static Protocol.Refused encodeRefused(SidecarMessage.Refused refused) {
		Refusal refusal = refused.refusal();
		return Protocol.Refused.newBuilder()
			.setStream(encode(refused.stream()))
			.setVerdict(refusal.verdict().ordinal())
			.setReason(refusal.reason().name())
			.setDetail(refusal.detail())
			.setRetryAfterPlusOne(refusal.retryAfter().map((d) -> d.toMillis() + 1).orElse(0L))
			.build();
	}

	private static SidecarMessage.Refused decodeRefused(Protocol.Refused refused) {
		long retryAfter = requireNonNegative(refused.getRetryAfterPlusOne());
		RefusalReason reason;
		try {
			reason = RefusalReason.valueOf(refused.getReason());
		}
		catch (IllegalArgumentException ex) {
			// A newer peer may send reasons that this version does not define.
			reason = RefusalReason.TARGET_REFUSED;
		}
		Refusal refusal = new Refusal(enumConstant(Verdict.values(), refused.getVerdict()), reason, refused.getDetail(),
				(retryAfter != 0) ? Optional.of(Duration.ofMillis(retryAfter - 1)) : Optional.empty());
		return new SidecarMessage.Refused(decode(refused.getStream()), refusal);
	}

	private static Protocol.Load encodeLoad(LoadReport report) {
		return Protocol.Load.newBuilder()
			.setRunning(report.running())
			.setQueued(report.queued())
			.setUsedTokens(report.usedTokens())
			.setCapacityTokens(report.capacityTokens())
			.setLeaving(report.leaving())
			.build();
	}

	private static LoadReport decodeLoad(Protocol.Load load) {
		return new LoadReport(load.getRunning(), load.getQueued(), requireNonNegative(load.getUsedTokens()),
				requireNonNegative(load.getCapacityTokens()), load.getLeaving());
	}

	private static Protocol.Stream encode(StreamId stream) {
		return Protocol.Stream.newBuilder().setCall(stream.call()).setAttempt(stream.attempt()).build();
	}

	private static StreamId decode(Protocol.Stream stream) {
		return new StreamId(stream.getCall(), stream.getAttempt());
	}

	private static Protocol.OnceKey encode(IdempotencyKey key) {
		return Protocol.OnceKey.newBuilder()
			.setAccount(key.account())
			.setKey(key.key())
			.setTicketIncarnation(key.ticketIncarnation())
			.build();
	}

	private static IdempotencyKey decode(Protocol.OnceKey key) {
		if (key.getKey().isEmpty()) {
			throw new InvalidFrameException("the idempotency key must not be empty");
		}
		return new IdempotencyKey(key.getAccount(), key.getKey(), key.getTicketIncarnation());
	}

	private static long requireNonNegative(long value) {
		if (value < 0) {
			throw new InvalidFrameException("number out of range: " + Long.toUnsignedString(value));
		}
		return value;
	}

	private static <E> E enumConstant(E[] values, int index) {
		if (index < 0 || index >= values.length) {
			throw new InvalidFrameException("unknown enum code: " + index);
		}
		return values[index];
	}

}
