package org.tanagerbank.peer;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import org.tanagerbank.capacity.CapacityEstimate;
import org.tanagerbank.capacity.CapacityNews;
import org.tanagerbank.capacity.ResponseTimes;
import org.tanagerbank.proto.PeerProto;

/** Converts what was learned of upstreams to protobuf messages and back. Stateless, thread-safe. */
final class CapacityCodec {
  private static final double THOUSANDTHS = 1_000;
  private static final double TENTHS = 10;

  private CapacityCodec() {}

  static PeerProto.Capacity toProto(CapacityNews news) {
    PeerProto.Capacity.Builder message =
        PeerProto.Capacity.newBuilder()
            .setProcess(news.process())
            .setWorkPercent(news.workPercent().orElse(0));
    for (ResponseTimes times : news.times()) {
      message
          .addRequests(times.requests())
          .addInFlightTenths((int) Math.round(TENTHS * times.inFlight()))
          .addTimeThousandths(Math.round(THOUSANDTHS * times.time()));
    }
    news.estimate().ifPresent(e -> message.setEstimate(toProto(e)));
    return message.build();
  }

  private static PeerProto.CapacityEstimate toProto(CapacityEstimate estimate) {
    return PeerProto.CapacityEstimate.newBuilder()
        .setRequests((int) Math.round(estimate.weight()))
        .setTimeThousandths(Math.round(THOUSANDTHS * estimate.time()))
        .setLimitIndex(estimate.limitIndex())
        .build();
  }

  static ImmutableList<CapacityNews> fromProto(List<PeerProto.Capacity> messages) {
    return messages.stream().map(CapacityCodec::fromProto).collect(ImmutableList.toImmutableList());
  }

  private static CapacityNews fromProto(PeerProto.Capacity message) {
    return new CapacityNews(
        message.getProcess(),
        times(message),
        message.getWorkPercent() > 0
            ? OptionalInt.of(message.getWorkPercent())
            : OptionalInt.empty(),
        message.hasEstimate() ? Optional.of(estimate(message.getEstimate())) : Optional.empty());
  }

  /** Returns the groups of the parallel lists; surplus elements of longer lists are ignored. */
  private static ImmutableList<ResponseTimes> times(PeerProto.Capacity message) {
    int groups =
        Math.min(
            message.getRequestsCount(),
            Math.min(message.getInFlightTenthsCount(), message.getTimeThousandthsCount()));
    return IntStream.range(0, groups)
        .mapToObj(
            i ->
                new ResponseTimes(
                    message.getInFlightTenths(i) / TENTHS,
                    message.getRequests(i),
                    message.getTimeThousandths(i) / THOUSANDTHS))
        .collect(ImmutableList.toImmutableList());
  }

  private static CapacityEstimate estimate(PeerProto.CapacityEstimate message) {
    return new CapacityEstimate(
        message.getRequests(), message.getTimeThousandths() / THOUSANDTHS, message.getLimitIndex());
  }
}
