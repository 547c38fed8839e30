package org.tanagerbank.sidecar;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.Verdict;
import org.tanagerbank.ledger.AnswerStore;
import org.tanagerbank.ledger.RequestLedger;
import org.tanagerbank.quarantine.Quarantine;

/**
 * The runs in flight at the upstream, and what follows from the end of one. Thread-safe.
 *
 * <p>The ledger knows of an end before the entry does, so that a Query never contradicts an End.
 */
final class Runs implements ServedRequest.Owner {
  private static final long UNATTENDED_MILLIS = 10_000;

  private final RequestLedger<ServedRequest> ledger;
  private final AnswerStore answers;
  private final AdmissionGate gate;
  private final Quarantine quarantine;
  private final SidecarMetrics metrics;
  private final LongSupplier clock;
  private final Set<ServedRequest> running = ConcurrentHashMap.newKeySet();
  private volatile Consumer<ServedRequest> abortListener = run -> {};
  private volatile Runnable loadListener = () -> {};

  Runs(
      RequestLedger<ServedRequest> ledger,
      AnswerStore answers,
      AdmissionGate gate,
      Quarantine quarantine,
      SidecarMetrics metrics,
      LongSupplier clock) {
    this.ledger = ledger;
    this.answers = answers;
    this.gate = gate;
    this.quarantine = quarantine;
    this.metrics = metrics;
    this.clock = clock;
  }

  /** Sets who decides why a connection to the upstream broke. */
  void onAborted(Consumer<ServedRequest> listener) {
    abortListener = listener;
  }

  /** Sets who is told that the number of requests in flight has changed. */
  void onLoadChanged(Runnable listener) {
    loadListener = listener;
  }

  /** Notes that an admitted run was started. */
  void started() {
    loadListener.run();
  }

  void add(ServedRequest run) {
    running.add(run);
  }

  ImmutableSet<ServedRequest> inFlight() {
    return ImmutableSet.copyOf(running);
  }

  /** Evicts old records and answers, and cancels runs that nobody wants any more. */
  void tidy() {
    long now = clock.getAsLong();
    answers.evict(now).forEach(ledger::dropAnswer);
    ledger.evict(now);
    ImmutableList.copyOf(running).forEach(run -> run.cancelUnattended(UNATTENDED_MILLIS, now));
  }

  @Override
  public int finished(ServedRequest run) {
    long now = clock.getAsLong();
    ledger.finish(run.id(), now);
    answers.add(run.id(), run.retainedBytes(), now).forEach(ledger::dropAnswer);
    quarantine.survived(run.fingerprint());
    remove(run, now);
    metrics.ended("finished");
    return gate.inFlight();
  }

  @Override
  public void failed(ServedRequest run, ErrorCode code, Verdict verdict) {
    long now = clock.getAsLong();
    ledger.fail(run.id(), code, verdict, now);
    remove(run, now);
    metrics.ended(code.name().toLowerCase(Locale.ROOT));
  }

  @Override
  public void aborted(ServedRequest run, Exception cause) {
    abortListener.accept(run);
  }

  private void remove(ServedRequest run, long now) {
    if (running.remove(run)) {
      gate.ended(run.workspace(), now);
      loadListener.run();
    }
  }
}
