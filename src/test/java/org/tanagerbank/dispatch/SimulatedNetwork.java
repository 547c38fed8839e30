package org.tanagerbank.dispatch;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * The messages between gateways that are on their way, some of which are lost. Not thread-safe.
 *
 * @param <G> what receives a message
 */
final class SimulatedNetwork<G> {
  private static final long MESSAGE_MILLIS = 2;

  /** A message on its way, and what it does when it arrives. */
  record Message<G>(long atMillis, int from, int to, Consumer<G> action) {}

  private final List<Message<G>> messages = new ArrayList<>();
  private final SplittableRandom random = new SplittableRandom(1);
  private double lossShare;

  /** Sets the share of the messages that are lost. */
  void setLossShare(double share) {
    lossShare = share;
  }

  /** Sends a message, unless it is lost. */
  void send(int from, int to, Consumer<G> action, long nowMillis) {
    if (random.nextDouble() >= lossShare) {
      messages.add(new Message<>(nowMillis + MESSAGE_MILLIS, from, to, action));
    }
  }

  /** Returns the messages that arrive now; they are no longer on their way. */
  ImmutableList<Message<G>> arriving(long nowMillis) {
    ImmutableList<Message<G>> due =
        messages.stream()
            .filter(m -> m.atMillis() <= nowMillis)
            .collect(ImmutableList.toImmutableList());
    messages.removeAll(due);
    return due;
  }
}
