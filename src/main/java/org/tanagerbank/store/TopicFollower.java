package org.tanagerbank.store;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.tanagerbank.store.ReadResult.Records;
import org.tanagerbank.store.ReadResult.Restored;
import org.tanagerbank.store.ReadResult.Unavailable;
import org.tanagerbank.store.RecordRelay.Respondents;

/**
 * Follows a keyed topic: reads the newest record of each key, then every new record.
 *
 * <p>A follower first asks another instance for the records that it has read, and reads the store
 * itself when no other instance has fresh records. It waits between reads, and retries after a
 * growing delay while the store does not answer. The store may refuse one instance and serve the
 * others, so a follower whose own reads fail asks any instance. The time up to which the records
 * are reported as complete never exceeds what an answer of the store proves, whichever instance got
 * the answer; an answer that does not reach the end of the topic proves nothing. A position belongs
 * to one era of the store: after a restore the newest record of each key is read again, and records
 * of other instances count only in the same era. Confined to one thread.
 */
public final class TopicFollower implements TopicSource {
  private static final long MIN_RETRY_DELAY_MILLIS = 100;
  private static final long MAX_RETRY_DELAY_MILLIS = 400;

  /**
   * The share of the requested wait after which an empty answer counts as given at the end of the
   * wait. An empty answer that came sooner proves nothing beyond the time of its request.
   */
  private static final double FULL_WAIT_SHARE = 0.9;

  /** The delay before the next question to another instance when it has no further records. */
  private static final long RELAY_DELAY_MILLIS = 400;

  /** Records of another instance are fresh up to an age of this multiple of the read wait. */
  private static final double MAX_RELAY_AGE_WAITS = 1.3;

  /**
   * The store answers in milliseconds. An answer that exceeds the wait by more than this time shows
   * that the store was unavailable in the meantime.
   */
  private static final long LATE_ANSWER_MILLIS = 600;

  /** The number of instances that are asked in turn for fresh records when the own reads fail. */
  private static final int MAX_STALE_ANSWERS = 4;

  /** Interval of the reads that find out whether the own reads work again. */
  private static final long PROBE_INTERVAL_MILLIS = 2_000;

  private final KeyedTopic topic;
  private final RecordRelay relay;
  private final TopicListener listener;
  private final Scheduler scheduler;
  private final LongSupplier clockMillis;
  private final long readDelayMillis;
  private final long waitMillis;
  private final RecordHistory history = new RecordHistory();
  private final StoreAvailability store;
  private Optional<TopicPosition> position = Optional.empty();
  private long currentAsOf;
  private boolean isStopped;
  private boolean isRefreshing;
  private boolean isAwaitingRetry;
  private boolean doOwnReadsFail;
  private int staleAnswers;
  private long lastProbeMillis = Long.MIN_VALUE / 2;
  private int lastCallNumber;
  private long retryDelayMillis = MIN_RETRY_DELAY_MILLIS;

  private TopicFollower(
      KeyedTopic topic,
      RecordRelay relay,
      TopicListener listener,
      Scheduler scheduler,
      LongSupplier clockMillis,
      long readDelayMillis,
      long waitMillis) {
    this.topic = topic;
    this.relay = relay;
    this.listener = listener;
    this.scheduler = scheduler;
    this.clockMillis = clockMillis;
    this.readDelayMillis = readDelayMillis;
    this.waitMillis = waitMillis;
    this.store = new StoreAvailability(listener, clockMillis);
  }

  /**
   * Returns a follower that reads after {@link #start}.
   *
   * @param relay requests records from other instances before the follower reads the store
   * @param clockMillis a steady clock in milliseconds
   * @param readDelayMillis the delay in milliseconds between an answer of the store and the next
   *     read, not negative; it is omitted after an empty answer that took at least as long
   * @param waitMillis the time in milliseconds that the store may wait for a record before it
   *     answers without records, not negative
   */
  public static TopicFollower create(
      KeyedTopic topic,
      RecordRelay relay,
      TopicListener listener,
      Scheduler scheduler,
      LongSupplier clockMillis,
      long readDelayMillis,
      long waitMillis) {
    checkArgument(
        readDelayMillis >= 0 && waitMillis >= 0,
        "expected delays that are not negative, got a read delay of %s ms and a wait of %s ms",
        readDelayMillis,
        waitMillis);
    return new TopicFollower(
        topic, relay, listener, scheduler, clockMillis, readDelayMillis, waitMillis);
  }

  /** Starts to read the topic. */
  public void start() {
    readNext();
  }

  /** Stops reading after the call in progress. */
  public void stop() {
    isStopped = true;
  }

  /**
   * Reads the store immediately and without a wait, to check whether the known records are still
   * complete. Does nothing while such a read is in progress, before the first snapshot, or during
   * an outage of the store, when only retries call the store.
   */
  public void refresh() {
    if (isRefreshing || store.isLost() || position.isEmpty()) {
      return;
    }
    isRefreshing = true;
    if (doOwnReadsFail) {
      readNext();
    } else {
      read(position.get(), 0);
    }
  }

  @Override
  public Optional<TopicPosition> position() {
    return position;
  }

  @Override
  public Optional<RelayedRecords> recordsFrom(TopicPosition from) {
    return position.flatMap(unused -> history.since(from)).map(this::relayed);
  }

  @Override
  public Optional<RelayedRecords> recordAt(TopicPosition at) {
    return position.flatMap(unused -> history.at(at)).map(this::relayed);
  }

  private RelayedRecords relayed(RecordHistory.Slice slice) {
    return new RelayedRecords(
        slice.records(),
        slice.next(),
        slice.hasMore(),
        clockMillis.getAsLong() - currentAsOf,
        store.sinceOutageMillis(),
        doOwnReadsFail);
  }

  @Override
  public void onPeerEra(long era) {
    // Only the store's own answer proves a restore. A wrong era of an instance costs a read.
    if (position.filter(p -> p.era() < era).isPresent()) {
      refresh();
    }
  }

  /**
   * Reads the newest record of each key again if the known position is of an earlier era. Called
   * when any call has shown that the store was restored from an older copy.
   */
  public void onStoreRestored(long era) {
    if (position.filter(p -> p.era() < era).isEmpty()) {
      return;
    }
    // Entries that the copy lacks are as doubtful as those that expired in an outage.
    store.recordLost("restored from an older copy");
    recordStoreAnswered();
    doOwnReadsFail = false;
    position = Optional.empty();
    readNext();
  }

  /**
   * Repeats a read that the store did not answer without waiting for its retry. Called when the
   * store has answered another call.
   */
  public void retryNow() {
    if (isAwaitingRetry) {
      readNext();
    }
  }

  private void readNext() {
    isAwaitingRetry = false;
    if (isStopped) {
      return;
    }
    int callNumber = ++lastCallNumber;
    long askedAt = clockMillis.getAsLong();
    if (position.isEmpty()) {
      topic.readNewest(result -> ifLatest(callNumber, () -> onSnapshot(result, askedAt)));
      return;
    }
    TopicPosition from = position.get();
    relay.requestRecords(
        from,
        doOwnReadsFail ? Respondents.ALL : Respondents.READERS,
        answer -> ifLatest(callNumber, () -> onRelayedRecords(answer, from, askedAt)));
  }

  private void onRelayedRecords(Optional<RelayedRecords> answer, TopicPosition from, long askedAt) {
    Optional<RelayedRecords> fresh =
        answer.filter(
            a -> a.next().era() == from.era() && a.ageMillis() <= waitMillis * MAX_RELAY_AGE_WAITS);
    if (fresh.isEmpty() && doOwnReadsFail && ++staleAnswers < MAX_STALE_ANSWERS) {
      readNext();
      return;
    }
    staleAnswers = 0;
    if (fresh.isEmpty()) {
      // During an outage the read does not wait, because any answer proves that the store is back.
      read(from, store.isLost() ? 0 : waitMillis);
      return;
    }
    RelayedRecords page = fresh.get();
    resetRetryDelay();
    store.recordAnsweredOther(page.sinceOutageMillis());
    deliver(page.records(), from, page.next());
    finishPage(page.hasMore(), askedAt - page.ageMillis(), RELAY_DELAY_MILLIS);
    probeStore(page.next());
  }

  /** Reads the store beside the questions to others, to find out whether it answers again. */
  private void probeStore(TopicPosition from) {
    long now = clockMillis.getAsLong();
    if (doOwnReadsFail && now - lastProbeMillis >= PROBE_INTERVAL_MILLIS) {
      lastProbeMillis = now;
      topic.read(from, 0, result -> doOwnReadsFail &= result instanceof Unavailable);
    }
  }

  /**
   * Passes records to the listener, unless they are known already because the instance that sent
   * them has read less.
   */
  private void deliver(
      ImmutableList<KeyedRecord> records, TopicPosition from, TopicPosition newNext) {
    if (newNext.isAfter(from)) {
      history.add(records, newNext);
      position = Optional.of(newNext);
      if (!records.isEmpty()) {
        listener.onRecords(records);
      }
    }
  }

  /**
   * Reads on after a page: at once while the topic has more, because only its end proves that the
   * records are complete as of some time.
   */
  private void finishPage(boolean hasMore, long currentAsOfMillis, long delayMillis) {
    if (!hasMore) {
      reportCurrentAsOf(currentAsOfMillis);
    }
    readLater(hasMore ? 0 : delayMillis);
  }

  private void reportCurrentAsOf(long atMillis) {
    currentAsOf = Math.max(currentAsOf, atMillis);
    listener.onCurrentAsOf(atMillis);
  }

  private void read(TopicPosition from, long wait) {
    if (!isStopped) {
      int callNumber = ++lastCallNumber;
      long sentAt = clockMillis.getAsLong();
      topic.read(
          from, wait, result -> ifLatest(callNumber, () -> onRead(result, from, sentAt, wait)));
    }
  }

  /** Runs an action unless a newer call, such as a refresh, has replaced the call. */
  private void ifLatest(int callNumber, Runnable action) {
    if (callNumber == lastCallNumber) {
      isRefreshing = false;
      action.run();
    }
  }

  private void readLater(long delayMillis) {
    int callNumber = lastCallNumber;
    scheduler.schedule(
        () -> {
          if (callNumber == lastCallNumber) {
            readNext();
          }
        },
        delayMillis);
  }

  private void onSnapshot(ReadResult result, long sentAt) {
    if (result instanceof Records page) {
      doOwnReadsFail = false;
      recordStoreAnswered();
      position = Optional.of(page.next());
      history.restart(page.next());
      listener.onSnapshot(page.records());
      reportCurrentAsOf(sentAt);
      readLater(readDelayMillis);
    } else {
      retry(result);
    }
  }

  private void onRead(ReadResult result, TopicPosition from, long sentAt, long wait) {
    if (result instanceof Unavailable) {
      retry(result);
      return;
    }
    doOwnReadsFail = false;
    if (clockMillis.getAsLong() - sentAt > wait + LATE_ANSWER_MILLIS) {
      store.recordLost("late answer");
    }
    if (result instanceof Restored restored) {
      onStoreRestored(restored.era());
      return;
    }
    recordStoreAnswered();
    if (!(result instanceof Records page)) {
      position = Optional.empty();
      readNext();
      return;
    }
    deliver(page.records(), from, page.next());
    boolean isEmpty = page.next().equals(from);
    boolean hasWaited = clockMillis.getAsLong() - sentAt >= readDelayMillis;
    finishPage(
        page.hasMore(),
        isEmpty ? emptyReadCurrentAsOf(sentAt, wait) : sentAt,
        isEmpty && hasWaited ? 0 : readDelayMillis);
  }

  /**
   * Returns the time up to which an empty answer proves that nothing was written. The store makes
   * an empty answer at the end of the wait.
   */
  private long emptyReadCurrentAsOf(long sentAt, long wait) {
    long waited = clockMillis.getAsLong() - sentAt;
    return waited >= wait * FULL_WAIT_SHARE ? sentAt + (long) (wait * FULL_WAIT_SHARE) : sentAt;
  }

  private void recordStoreAnswered() {
    resetRetryDelay();
    store.recordAnswered();
  }

  private void resetRetryDelay() {
    retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
  }

  private void retry(ReadResult result) {
    doOwnReadsFail = true;
    store.recordLost(result instanceof Unavailable u ? u.reason() : "unexpected answer");
    isAwaitingRetry = true;
    readLater(retryDelayMillis);
    retryDelayMillis = Math.min(MAX_RETRY_DELAY_MILLIS, retryDelayMillis * 2);
  }
}
