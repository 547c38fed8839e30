package org.tanagerbank.peer;

import java.util.Optional;
import org.tanagerbank.proto.PeerProto;
import org.tanagerbank.stream.StreamOrigin;

/** Converts messages on origins of streams to protobuf and back. Stateless and thread-safe. */
final class OriginCodec {
  private OriginCodec() {}

  static PeerProto.OriginNotice toProto(OriginNotice notice) {
    return PeerProto.OriginNotice.newBuilder()
        .setStreamId(notice.streamId())
        .setOrigin(toProto(notice.origin()))
        .build();
  }

  static OriginNotice fromProto(PeerProto.OriginNotice message) {
    return new OriginNotice(message.getStreamId(), fromProto(message.getOrigin()));
  }

  static PeerProto.OriginQuestion toProto(OriginQuestion question) {
    return PeerProto.OriginQuestion.newBuilder()
        .setNonce(question.nonce())
        .setStreamId(question.streamId())
        .build();
  }

  static OriginQuestion fromProto(PeerProto.OriginQuestion message) {
    return new OriginQuestion(message.getNonce(), message.getStreamId());
  }

  static PeerProto.OriginAnswer toProto(OriginAnswer answer) {
    PeerProto.OriginAnswer.Builder message =
        PeerProto.OriginAnswer.newBuilder().setNonce(answer.nonce());
    answer.origin().ifPresent(o -> message.setOrigin(toProto(o)));
    return message.build();
  }

  static OriginAnswer fromProto(PeerProto.OriginAnswer message) {
    return new OriginAnswer(
        message.getNonce(),
        message.hasOrigin() ? Optional.of(fromProto(message.getOrigin())) : Optional.empty());
  }

  private static PeerProto.Origin toProto(StreamOrigin origin) {
    return PeerProto.Origin.newBuilder()
        .setService(origin.service())
        .setSoftwareVersion(origin.softwareVersion())
        .build();
  }

  private static StreamOrigin fromProto(PeerProto.Origin message) {
    return new StreamOrigin(message.getService(), message.getSoftwareVersion());
  }
}
