package org.tanagerbank.feed;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.tanagerbank.feed.ReadResult.Records;
import org.tanagerbank.feed.ReadResult.Unavailable;

/**
 * Follows a keyed topic: the newest records first, then each new one.
 *
 * <p>Asks another instance for what that has read, and reads the store itself when nobody can tell
 * something fresh. Reads no more often than its pace, and retries after a growing delay while the
 * store does not answer. What is known is never said to be newer than the store proved, whoever
 * read it. Confined to one thread.
 */
public final class TopicFollower {
  private static final long FIRST_RETRY_MILLIS = 100;
  private static final long LAST_RETRY_MILLIS = 400;

  /**
   * An empty answer that came sooner than this share of the wait proves nothing beyond its send.
   */
  private static final double WHOLE_WAIT = 0.9;

  /** How often another instance is asked. */
  private static final long RELAY_PACE_MILLIS = 400;

  /** What another instance says is of use up to this multiple of the wait of its reads. */
  private static final double RELAY_AGE_WAITS = 1.3;

  /** The store answers in milliseconds; one so late after a wait has been away in between. */
  private static final long LATE_MILLIS = 600;

  /** An outage that ended longer ago no longer casts doubt on records. */
  private static final long RECENT_OUTAGE_MILLIS = 5_000;

  /** Moments of one outage's end that instances name differ by less. */
  private static final long SAME_OUTAGE_MILLIS = 1_000;

  private final KeyedTopic topic;
  private final RecordRelay relay;
  private final TopicListener listener;
  private final Scheduler scheduler;
  private final LongSupplier clockMillis;
  private final long paceMillis;
  private final long waitMillis;
  private final RecordHistory history = new RecordHistory();
  private long next = -1;
  private long currentAsOf;
  private long regainedAt = Long.MIN_VALUE / 2;
  private boolean isLost;
  private boolean stopped;
  private boolean refreshing;
  private boolean awaitsRetry;
  private int round;
  private long retryMillis = FIRST_RETRY_MILLIS;

  private TopicFollower(
      KeyedTopic topic,
      RecordRelay relay,
      TopicListener listener,
      Scheduler scheduler,
      LongSupplier clockMillis,
      long paceMillis,
      long waitMillis) {
    this.topic = topic;
    this.relay = relay;
    this.listener = listener;
    this.scheduler = scheduler;
    this.clockMillis = clockMillis;
    this.paceMillis = paceMillis;
    this.waitMillis = waitMillis;
  }

  /**
   * Returns a follower.
   *
   * @param relay asked before the store
   * @param paceMillis the time between the answer to a read and the next read after records came
   * @param waitMillis how long the store may hold a read that has nothing to tell
   */
  public static TopicFollower create(
      KeyedTopic topic,
      RecordRelay relay,
      TopicListener listener,
      Scheduler scheduler,
      LongSupplier clockMillis,
      long paceMillis,
      long waitMillis) {
    checkArgument(paceMillis >= 0 && waitMillis >= 0, "pace %s, wait %s", paceMillis, waitMillis);
    return new TopicFollower(
        topic, relay, listener, scheduler, clockMillis, paceMillis, waitMillis);
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

  /** Returns what this instance knows of the topic from an offset, if it can tell. */
  public Optional<RelayedRead> known(long from) {
    long now = clockMillis.getAsLong();
    return next < 0
        ? Optional.empty()
        : history
            .since(from)
            .map(
                s ->
                    new RelayedRead(
                        s.records(), s.next(), s.hasMore(), now - currentAsOf, now - regainedAt));
  }

  /** Repeats at once a read that the store did not answer, as it answers others now. */
  public void storeAnswers() {
    if (awaitsRetry) {
      readNext();
    }
  }

  private void readNext() {
    awaitsRetry = false;
    if (stopped) {
      return;
    }
    int current = ++round;
    long askedAt = clockMillis.getAsLong();
    if (next >= 0) {
      relay.ask(next, answer -> ifCurrent(current, () -> onRelay(answer, askedAt)));
    } else {
      topic.newest(result -> ifCurrent(current, () -> onSnapshot(result, askedAt)));
    }
  }

  private void onRelay(Optional<RelayedRead> answer, long askedAt) {
    Optional<RelayedRead> fresh = answer.filter(a -> a.ageMillis() <= waitMillis * RELAY_AGE_WAITS);
    if (fresh.isEmpty()) {
      // An answer proves that the store is back, so one is wanted at once.
      read(isLost ? 0 : waitMillis);
      return;
    }
    RelayedRead page = fresh.get();
    noteAnswer();
    noteOutageElsewhere(page.sinceOutageMillis());
    take(page.records(), page.next());
    if (!page.hasMore()) {
      current(askedAt - page.ageMillis());
    }
    readLater(page.hasMore() ? 0 : RELAY_PACE_MILLIS);
  }

  /**
   * Records of an outage that only the other instance saw are as doubtful as those of an own one.
   */
  private void noteOutageElsewhere(long sinceMillis) {
    long at = clockMillis.getAsLong() - sinceMillis;
    if (sinceMillis < RECENT_OUTAGE_MILLIS && at > regainedAt + SAME_OUTAGE_MILLIS) {
      regainedAt = at;
      listener.regained(at);
    }
  }

  /** Passes on the records that follow those known; another instance may have fewer. */
  private void take(ImmutableList<KeyedRecord> records, long newNext) {
    if (newNext > next) {
      history.add(records, newNext);
      next = newNext;
      if (!records.isEmpty()) {
        listener.records(records);
      }
    }
  }

  private void current(long atMillis) {
    currentAsOf = Math.max(currentAsOf, atMillis);
    listener.currentAsOf(atMillis);
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
      history.restart(next);
      listener.snapshot(page.records());
      current(sentAt);
      readLater(paceMillis);
    } else {
      retry(result);
    }
  }

  private void onRead(ReadResult result, long sentAt, long wait) {
    if (result instanceof Unavailable) {
      retry(result);
      return;
    }
    if (clockMillis.getAsLong() - sentAt > wait + LATE_MILLIS) {
      noteLost("late answer");
    }
    noteAnswer();
    if (!(result instanceof Records page)) {
      next = -1;
      readNext();
      return;
    }
    take(page.records(), page.next());
    if (!page.records().isEmpty()) {
      current(sentAt);
      readLater(paceMillis);
      return;
    }
    current(emptyAsOf(sentAt, wait));
    readLater(clockMillis.getAsLong() - sentAt < paceMillis ? paceMillis : 0);
  }

  /** An empty answer is made at the end of the wait, so nothing was written until then. */
  private long emptyAsOf(long sentAt, long wait) {
    long waited = clockMillis.getAsLong() - sentAt;
    return waited >= wait * WHOLE_WAIT ? sentAt + (long) (wait * WHOLE_WAIT) : sentAt;
  }

  private void noteLost(String reason) {
    if (!isLost) {
      isLost = true;
      listener.lost(reason);
    }
  }

  private void noteAnswer() {
    retryMillis = FIRST_RETRY_MILLIS;
    if (isLost) {
      isLost = false;
      regainedAt = clockMillis.getAsLong();
      listener.regained(regainedAt);
    }
  }

  private void retry(ReadResult result) {
    noteLost(result instanceof Unavailable u ? u.reason() : "unexpected answer");
    awaitsRetry = true;
    readLater(retryMillis);
    retryMillis = Math.min(LAST_RETRY_MILLIS, retryMillis * 2);
  }
}
