package org.tanagerbank.dispatch;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.tanagerbank.store.Scheduler;

/**
 * Up to which time the list of upstreams is known to be complete.
 *
 * <p>An instance that stood still or was cut off may know the newest configuration again before it
 * has read what upstreams wrote meanwhile. A decision that rests on an upstream not being there
 * therefore waits until the store has proved that the list is complete. Confined to the event loop.
 */
final class UpstreamListProof {
  /** Several times the time that the store takes to answer. */
  private static final long MAX_WAIT_MILLIS = 100;

  private record Waiter(long asOfMillis, Consumer<Boolean> callback) {}

  private final Scheduler scheduler;
  private final List<Waiter> waiters = new ArrayList<>();
  private Runnable refresh = () -> {};
  private long completeAsOfMillis = Long.MIN_VALUE;

  UpstreamListProof(Scheduler scheduler) {
    this.scheduler = scheduler;
  }

  /** Sets the action that reads what upstreams have written since the last read. */
  void setRefresh(Runnable action) {
    refresh = action;
  }

  /** Records that all reports written up to a time are in the list. */
  void confirm(long asOfMillis) {
    completeAsOfMillis = Math.max(completeAsOfMillis, asOfMillis);
    ImmutableList<Waiter> proved =
        waiters.stream()
            .filter(w -> w.asOfMillis() <= completeAsOfMillis)
            .collect(toImmutableList());
    waiters.removeAll(proved);
    proved.forEach(w -> w.callback().accept(true));
    if (!waiters.isEmpty()) {
      // The read that brought this proof was sent before these began to wait.
      scheduler.schedule(refresh, 0);
    }
  }

  /**
   * Waits for the proof that the list is complete as of a time.
   *
   * @param callback called exactly once, with whether that was proved in time
   */
  void await(long asOfMillis, Consumer<Boolean> callback) {
    if (asOfMillis <= completeAsOfMillis) {
      callback.accept(true);
      return;
    }
    Waiter waiter = new Waiter(asOfMillis, callback);
    waiters.add(waiter);
    scheduler.schedule(() -> giveUp(waiter), MAX_WAIT_MILLIS);
    refresh.run();
  }

  private void giveUp(Waiter waiter) {
    if (waiters.remove(waiter)) {
      waiter.callback().accept(false);
    }
  }
}
