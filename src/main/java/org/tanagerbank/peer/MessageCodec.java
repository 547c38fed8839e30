package org.tanagerbank.peer;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import java.util.OptionalInt;
import org.tanagerbank.proto.PeerProto;
import org.tanagerbank.store.KeyedRecord;
import org.tanagerbank.store.RelayedRecords;
import org.tanagerbank.store.TopicPosition;

/**
 * Encodes and decodes the datagrams between instances. Stateless and thread-safe.
 *
 * <p>{@link DigestPacker} encodes digests, which may take several datagrams.
 */
final class MessageCodec {
  private MessageCodec() {}

  /** Returns the datagrams of a message: several only for a digest. */
  static ImmutableList<byte[]> encode(PeerMessage message) {
    if (message instanceof PeerDigest digest) {
      return DigestPacker.pack(digest);
    }
    PeerProto.Datagram.Builder datagram = PeerProto.Datagram.newBuilder();
    if (message instanceof TopicQuestion question) {
      datagram.setQuestion(toProto(question));
    } else if (message instanceof TopicAnswer answer) {
      datagram.setAnswer(toProto(answer));
    } else if (message instanceof OriginNotice notice) {
      datagram.setOriginNotice(OriginCodec.toProto(notice));
    } else if (message instanceof OriginQuestion question) {
      datagram.setOriginQuestion(OriginCodec.toProto(question));
    } else if (message instanceof OriginAnswer answer) {
      datagram.setOriginAnswer(OriginCodec.toProto(answer));
    } else {
      throw new IllegalArgumentException("expected a message that is sent alone: " + message);
    }
    return ImmutableList.of(datagram.build().toByteArray());
  }

  /**
   * Decodes the message in a datagram.
   *
   * @throws InvalidProtocolBufferException if the bytes are not a valid message of an instance
   */
  static PeerMessage decode(byte[] bytes) throws InvalidProtocolBufferException {
    PeerProto.Datagram datagram = PeerProto.Datagram.parseFrom(bytes);
    return switch (datagram.getContentCase()) {
      case DIGEST -> DigestCodec.fromProto(datagram.getDigest());
      case CONTINUATION -> DigestCodec.fromProto(datagram.getContinuation());
      case QUESTION -> fromProto(datagram.getQuestion());
      case ANSWER -> fromProto(datagram.getAnswer());
      case ORIGIN_NOTICE -> OriginCodec.fromProto(datagram.getOriginNotice());
      case ORIGIN_QUESTION -> OriginCodec.fromProto(datagram.getOriginQuestion());
      case ORIGIN_ANSWER -> OriginCodec.fromProto(datagram.getOriginAnswer());
      case CONTENT_NOT_SET ->
          throw new InvalidProtocolBufferException(
              "datagram without content, expected a digest, notice, question or answer");
    };
  }

  private static PeerProto.TopicQuestion toProto(TopicQuestion question) {
    PeerProto.TopicQuestion.Builder message =
        PeerProto.TopicQuestion.newBuilder()
            .setNonce(question.nonce())
            .setTopic(question.topic())
            .setFrom(question.from().offset())
            .setEra(question.from().era());
    question.valueFrom().ifPresent(message::setValueFrom);
    return message.build();
  }

  private static TopicQuestion fromProto(PeerProto.TopicQuestion message) {
    return new TopicQuestion(
        message.getNonce(),
        message.getTopic(),
        new TopicPosition(message.getEra(), message.getFrom()),
        message.hasValueFrom() ? OptionalInt.of(message.getValueFrom()) : OptionalInt.empty());
  }

  private static PeerProto.TopicAnswer toProto(TopicAnswer answer) {
    PeerProto.TopicAnswer.Builder message =
        PeerProto.TopicAnswer.newBuilder().setNonce(answer.nonce()).setEra(answer.era());
    answer.records().ifPresent(records -> addRecords(message, records));
    answer.valueBytes().ifPresent(message::setValueBytes);
    return message.build();
  }

  private static void addRecords(PeerProto.TopicAnswer.Builder message, RelayedRecords relayed) {
    message
        .setKnown(true)
        .setNext(relayed.next().offset())
        .setMore(relayed.hasMore())
        .setAgeMillis(relayed.ageMillis())
        .setSinceOutageMillis(relayed.sinceOutageMillis())
        .setOwnReadsFail(relayed.isSecondHand());
    relayed.records().forEach(r -> message.addRecords(toProto(r)));
  }

  private static PeerProto.TopicRecord toProto(KeyedRecord keyed) {
    PeerProto.TopicRecord.Builder message = PeerProto.TopicRecord.newBuilder().setKey(keyed.key());
    keyed.value().ifPresent(v -> message.setValue(ByteString.copyFrom(v)));
    return message.build();
  }

  private static TopicAnswer fromProto(PeerProto.TopicAnswer message) {
    return new TopicAnswer(
        message.getNonce(),
        message.getEra(),
        message.getKnown() ? Optional.of(relayedRecordsFromProto(message)) : Optional.empty(),
        message.hasValueBytes() ? OptionalInt.of(message.getValueBytes()) : OptionalInt.empty());
  }

  private static RelayedRecords relayedRecordsFromProto(PeerProto.TopicAnswer message) {
    return new RelayedRecords(
        message.getRecordsList().stream()
            .map(MessageCodec::fromProto)
            .collect(ImmutableList.toImmutableList()),
        new TopicPosition(message.getEra(), message.getNext()),
        message.getMore(),
        message.getAgeMillis(),
        message.getSinceOutageMillis(),
        message.getOwnReadsFail());
  }

  private static KeyedRecord fromProto(PeerProto.TopicRecord message) {
    return new KeyedRecord(
        message.getKey(),
        message.hasValue() ? Optional.of(message.getValue().toByteArray()) : Optional.empty());
  }
}
