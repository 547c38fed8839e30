package org.tanagerbank.dispatch;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.tanagerbank.caller.CallerExchange;
import org.tanagerbank.caller.CallerRequest;

/**
 * The requests that wait for the store, each until they are resumed, its own limit has passed or
 * its caller has left. Not thread-safe; confined to the event loop.
 */
final class WaitingRequests {
  /** The largest number of requests that wait at the same time. */
  private static final int MAX_REQUESTS = 200;

  /**
   * The number of requests that are resumed before the event loop reads again. An instance that has
   * just started takes milliseconds for each, and callers may leave meanwhile.
   */
  private static final int RESUMED_AT_ONCE = 8;

  private static final long READ_DELAY_MILLIS = 1;

  /** A request that waits. Compared by identity. */
  private static final class Waiting {
    private final Runnable proceed;

    private Waiting(Runnable proceed) {
      this.proceed = proceed;
    }
  }

  private final EventLoop loop;
  private final Set<Waiting> all = new LinkedHashSet<>();

  WaitingRequests(EventLoop loop) {
    this.loop = loop;
  }

  /** Returns whether no further request may wait. */
  boolean isFull() {
    return all.size() >= MAX_REQUESTS;
  }

  /**
   * Adds a request, whose body is released if its caller leaves.
   *
   * @param proceed runs when the request is resumed, or after {@code limitMillis}
   */
  void add(CallerRequest request, CallerExchange exchange, Runnable proceed, long limitMillis) {
    Waiting waiting = new Waiting(proceed);
    all.add(waiting);
    exchange.onDisconnect(
        () -> {
          if (all.remove(waiting)) {
            request.body().release();
          }
        });
    runLater(() -> proceed(waiting), limitMillis);
  }

  /** Resumes the requests that wait now, in the order in which they came. */
  void resumeAll() {
    if (!all.isEmpty()) {
      resume(new ArrayDeque<>(all));
    }
  }

  private void resume(Queue<Waiting> ready) {
    for (int i = 0; i < RESUMED_AT_ONCE && !ready.isEmpty(); i++) {
      proceed(ready.remove());
    }
    if (!ready.isEmpty()) {
      runLater(() -> resume(ready), READ_DELAY_MILLIS);
    }
  }

  private void proceed(Waiting waiting) {
    if (all.remove(waiting)) {
      waiting.proceed.run();
    }
  }

  private void runLater(Runnable task, long delayMillis) {
    var unused = loop.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
  }
}
