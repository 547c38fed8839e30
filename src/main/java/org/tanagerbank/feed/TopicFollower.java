package org.tanagerbank.feed;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.function.LongSupplier;
import org.tanagerbank.feed.ReadResult.Records;
import org.tanagerbank.feed.ReadResult.Trimmed;
import org.tanagerbank.feed.ReadResult.Unavailable;

/**
 * Follows a keyed topic: the newest records first, then each new one.
 *
 * <p>Reads no more often than its pace, and retries after a growing delay while the store does not
 * answer. Confined to one thread.
 */
public final class TopicFollower {
  private static final long FIRST_RETRY_MILLIS = 100;
  private static final long LAST_RETRY_MILLIS = 400;

  /**
   * An empty answer that came sooner than this share of the wait proves nothing beyond its send.
   */
  private static final double WHOLE_WAIT = 0.9;

  private final KeyedTopic topic;
  private final TopicListener listener;
  private final Scheduler scheduler;
  private final LongSupplier clockMillis;
  private final long paceMillis;
  private final long waitMillis;
  private long next = -1;
  private boolean isLost;
  private boolean stopped;
  private boolean refreshing;
  private int round;
  private long retryMillis = FIRST_RETRY_MILLIS;

  private TopicFollower(
      KeyedTopic topic,
      TopicListener listener,
      Scheduler scheduler,
      LongSupplier clockMillis,
      long paceMillis,
      long waitMillis) {
    this.topic = topic;
    this.listener = listener;
    this.scheduler = scheduler;
    this.clockMillis = clockMillis;
    this.paceMillis = paceMillis;
    this.waitMillis = waitMillis;
  }

  /**
   * Returns a follower.
   *
   * @param paceMillis the time between the answer to a read and the next read after records came
   * @param waitMillis how long the store may hold a read that has nothing to tell
   */
  public static TopicFollower create(
      KeyedTopic topic,
      TopicListener listener,
      Scheduler scheduler,
      LongSupplier clockMillis,
      long paceMillis,
      long waitMillis) {
    checkArgument(paceMillis >= 0 && waitMillis >= 0, "pace %s, wait %s", paceMillis, waitMillis);
    return new TopicFollower(topic, listener, scheduler, clockMillis, paceMillis, waitMillis);
  }

  /** Begins to follow. */
  public void start() {
    readNext();
  }

  /** Ends after the call in progress. */
  public void stop() {
    stopped = true;
  }

  /**
   * Reads at once and without waiting, to learn whether what is known is still the newest. Does
   * nothing while such a read is in progress, or while the store is away and is asked now and then.
   */
  public void refresh() {
    if (!refreshing && !isLost && next >= 0) {
      refreshing = true;
      read(0);
    }
  }

  private void readNext() {
    if (next >= 0) {
      read(waitMillis);
    } else if (!stopped) {
      int current = ++round;
      long sentAt = clockMillis.getAsLong();
      topic.newest(result -> ifCurrent(current, () -> onSnapshot(result, sentAt)));
    }
  }

  private void read(long wait) {
    if (!stopped) {
      int current = ++round;
      long sentAt = clockMillis.getAsLong();
      topic.read(next, wait, result -> ifCurrent(current, () -> onRead(result, sentAt, wait)));
    }
  }

  /** A refresh overtakes the read before it, whose result then no longer counts. */
  private void ifCurrent(int started, Runnable action) {
    if (started == round) {
      refreshing = false;
      action.run();
    }
  }

  private void readLater(long delayMillis) {
    int current = round;
    scheduler.schedule(
        () -> {
          if (current == round) {
            readNext();
          }
        },
        delayMillis);
  }

  private void onSnapshot(ReadResult result, long sentAt) {
    if (result instanceof Records page) {
      noteAnswer();
      next = page.next();
      listener.snapshot(page.records());
      listener.currentAsOf(sentAt);
      readLater(paceMillis);
    } else {
      retry(result);
    }
  }

  private void onRead(ReadResult result, long sentAt, long wait) {
    if (result instanceof Trimmed) {
      noteAnswer();
      next = -1;
      readNext();
      return;
    }
    if (!(result instanceof Records page)) {
      retry(result);
      return;
    }
    noteAnswer();
    next = page.next();
    if (!page.records().isEmpty()) {
      listener.records(page.records());
      listener.currentAsOf(sentAt);
      readLater(paceMillis);
      return;
    }
    listener.currentAsOf(emptyAsOf(sentAt, wait));
    readLater(clockMillis.getAsLong() - sentAt < paceMillis ? paceMillis : 0);
  }

  /** An empty answer is made at the end of the wait, so nothing was written until then. */
  private long emptyAsOf(long sentAt, long wait) {
    long waited = clockMillis.getAsLong() - sentAt;
    return waited >= wait * WHOLE_WAIT ? sentAt + (long) (wait * WHOLE_WAIT) : sentAt;
  }

  private void noteAnswer() {
    retryMillis = FIRST_RETRY_MILLIS;
    if (isLost) {
      isLost = false;
      listener.regained();
    }
  }

  private void retry(ReadResult result) {
    if (!isLost) {
      isLost = true;
      listener.lost(result instanceof Unavailable u ? u.reason() : "unexpected answer");
    }
    readLater(retryMillis);
    retryMillis = Math.min(LAST_RETRY_MILLIS, retryMillis * 2);
  }
}
