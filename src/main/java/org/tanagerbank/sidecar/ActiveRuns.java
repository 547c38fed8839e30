package org.tanagerbank.sidecar;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.tanagerbank.ledger.AnswerRetention;
import org.tanagerbank.ledger.RequestLedger;
import org.tanagerbank.quarantine.Quarantine;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.Verdict;

/**
 * Tracks the runs in flight at the upstream, and updates the ledger, the answer retention, the
 * quarantine and the admission control when one ends.
 *
 * <p>The end is recorded in the ledger before it is sent to the entry, so that the answer to a
 * Query never contradicts an End frame. Thread-safe.
 */
final class ActiveRuns implements UpstreamRun.CompletionListener {
  /** An idempotent run without a delivery is cancelled after this time. */
  private static final long MAX_UNATTENDED_MILLIS = 10_000;

  private final RequestLedger<UpstreamRun> ledger;
  private final AnswerRetention answerRetention;
  private final AdmissionController admission;
  private final Quarantine quarantine;
  private final SidecarMetrics metrics;
  private final LongSupplier clock;
  private final Set<UpstreamRun> running = ConcurrentHashMap.newKeySet();
  private volatile Consumer<UpstreamRun> connectionLossListener = run -> {};
  private volatile Runnable loadListener = () -> {};

  ActiveRuns(
      RequestLedger<UpstreamRun> ledger,
      AnswerRetention answerRetention,
      AdmissionController admission,
      Quarantine quarantine,
      SidecarMetrics metrics,
      LongSupplier clock) {
    this.ledger = ledger;
    this.answerRetention = answerRetention;
    this.admission = admission;
    this.quarantine = quarantine;
    this.metrics = metrics;
    this.clock = clock;
  }

  /** Sets the listener that finds out why the connection of a run broke, and ends the run. */
  void setConnectionLossListener(Consumer<UpstreamRun> listener) {
    connectionLossListener = listener;
  }

  /** Sets the action to run when the number of requests in flight has changed. */
  void setLoadListener(Runnable listener) {
    loadListener = listener;
  }

  /** Reports the change of load after an admitted run was started. */
  void notifyStarted() {
    loadListener.run();
  }

  void add(UpstreamRun run) {
    running.add(run);
  }

  /** Returns a copy of the set of runs in flight. */
  ImmutableSet<UpstreamRun> inFlight() {
    return ImmutableSet.copyOf(running);
  }

  /**
   * Evicts old records and answers, and cancels idempotent runs that are left without a delivery.
   */
  void evictExpired() {
    long now = clock.getAsLong();
    answerRetention.evict(now).forEach(ledger::dropAnswer);
    ledger.evict(now);
    ImmutableList.copyOf(running).forEach(run -> run.cancelUnattended(MAX_UNATTENDED_MILLIS, now));
  }

  @Override
  public int onFinished(UpstreamRun run) {
    long now = clock.getAsLong();
    ledger.finish(run.id(), now);
    answerRetention.add(run.id(), run.retainedBytes(), now).forEach(ledger::dropAnswer);
    quarantine.recordCompletion(run.fingerprint(), now);
    remove(run, now);
    metrics.countRunEnd("finished");
    return admission.inFlight();
  }

  @Override
  public void onFailed(UpstreamRun run, ErrorCode code, Verdict verdict) {
    long now = clock.getAsLong();
    ledger.fail(run.id(), code, verdict, now);
    remove(run, now);
    metrics.countRunEnd(code.name().toLowerCase(Locale.ROOT));
  }

  @Override
  public void onConnectionLost(UpstreamRun run, Exception cause) {
    connectionLossListener.accept(run);
  }

  private void remove(UpstreamRun run, long now) {
    if (running.remove(run)) {
      admission.recordEnd(run.workspace(), now);
      loadListener.run();
    }
  }
}
