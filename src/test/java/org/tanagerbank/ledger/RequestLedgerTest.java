package org.tanagerbank.ledger;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.Fingerprint;
import org.tanagerbank.request.RequestId;
import org.tanagerbank.request.Verdict;

/**
 * Guards against a request that runs twice, and against one that runs after its caller received the
 * verdict {@code NOT_RUN}. Both happen when the ledger has no record of an id or a key that it has
 * already decided on, for example after an eviction, a restart or a clock that was set back.
 */
final class RequestLedgerTest {
  private static final long INCARNATION = 7;
  private static final LedgerLimits LIMITS = new LedgerLimits(4, 1_000, 3, 10_000, 2);

  private final RequestLedger<String> ledger = new RequestLedger<>(INCARNATION, LIMITS);
  private int runCount;

  private static RequestId id(long sequence) {
    return new RequestId("entry-1", 1, sequence);
  }

  private static IdempotencyKey issuedKey(String key, String body) {
    return IdempotencyKey.issuedByEntry(
        key, 5_000, Fingerprint.of("s", body.getBytes(StandardCharsets.UTF_8)));
  }

  private static IdempotencyKey callerKey(String key) {
    return IdempotencyKey.chosenByCaller("w", key, Fingerprint.of("s", new byte[0]));
  }

  private SubmitDecision<String> submit(RequestId id, int attempt, IdempotencyKey key, long now) {
    return ledger.submit(
        new Submission(id, attempt, INCARNATION, key != null, Optional.ofNullable(key)),
        () -> AdmissionCheck.Result.admit("run-" + ++runCount),
        now);
  }

  private SubmitDecision<String> refuse(
      RequestId id, int attempt, IdempotencyKey key, ErrorCode code) {
    return ledger.submit(
        new Submission(id, attempt, INCARNATION, key != null, Optional.ofNullable(key)),
        () -> AdmissionCheck.Result.refuse(code, 100),
        0);
  }

  private static void assertRefused(SubmitDecision<String> decision, ErrorCode code) {
    assertThat(((SubmitDecision.Refuse<String>) decision).code()).isEqualTo(code);
  }

  private static void assertFailed(
      SubmitDecision<String> decision, ErrorCode code, Verdict verdict) {
    assertThat(decision).isEqualTo(new SubmitDecision.Fail<String>(code, verdict));
  }

  @Test
  void repeatedSubmitAttaches() {
    assertThat(submit(id(1), 1, null, 0)).isEqualTo(new SubmitDecision.Run<>("run-1"));
    assertThat(submit(id(1), 2, null, 0)).isEqualTo(new SubmitDecision.Attach<>("run-1"));
    ledger.finish(id(1), 1);
    assertThat(submit(id(1), 3, null, 2)).isEqualTo(new SubmitDecision.Attach<>("run-1"));
    assertThat(ledger.query(id(1), INCARNATION, 2)).isEqualTo(new QueryOutcome.Finished<>("run-1"));
  }

  @Test
  void queryAndRefusalSealTheRequest() {
    assertThat(ledger.query(id(1), INCARNATION, 0)).isEqualTo(new QueryOutcome.Sealed<>());
    assertRefused(submit(id(1), 1, null, 0), ErrorCode.SEALED);
    assertRefused(refuse(id(2), 1, null, ErrorCode.OVERLOADED), ErrorCode.OVERLOADED);
    assertRefused(submit(id(2), 2, null, 0), ErrorCode.OVERLOADED);
    assertThat(runCount).isEqualTo(0);
  }

  @Test
  void movedSealsTheAttemptOnly() {
    refuse(id(1), 1, null, ErrorCode.MOVED);
    assertRefused(submit(id(1), 1, null, 0), ErrorCode.MOVED);
    assertThat(submit(id(1), 2, null, 0)).isInstanceOf(SubmitDecision.Run.class);
    refuse(id(2), 1, null, ErrorCode.MOVED);
    assertThat(ledger.query(id(2), INCARNATION, 0)).isEqualTo(new QueryOutcome.Sealed<>());
    assertRefused(submit(id(2), 2, null, 0), ErrorCode.SEALED);
  }

  @Test
  void otherIncarnationIsRefused() {
    // An earlier copy may have run there, so not even a first attempt gets the verdict NOT_RUN.
    Submission first = new Submission(id(1), 1, INCARNATION - 1, false, Optional.empty());
    assertFailed(
        ledger.submit(first, () -> AdmissionCheck.Result.admit("x"), 0),
        ErrorCode.UPSTREAM_LOST,
        Verdict.MAY_HAVE_RUN);
    assertThat(ledger.query(id(3), INCARNATION - 1, 0))
        .isEqualTo(new QueryOutcome.OtherIncarnation<>());
  }

  @Test
  void evictedIdIsReportedAsForgotten() {
    for (int i = 1; i <= 6; i++) {
      submit(id(i), 1, null, 0);
      ledger.finish(id(i), 0);
    }
    ledger.evict(0);
    assertThat(ledger.size()).isEqualTo(4);
    assertFailed(submit(id(1), 2, null, 0), ErrorCode.FORGOTTEN, Verdict.MAY_HAVE_RUN);
    assertThat(ledger.query(id(2), INCARNATION, 0))
        .isEqualTo(new QueryOutcome.Fail<String>(ErrorCode.FORGOTTEN, Verdict.MAY_HAVE_RUN));
    ledger.evict(2_000);
    assertThat(ledger.size()).isEqualTo(0);
    assertFailed(submit(id(6), 1, null, 2_000), ErrorCode.FORGOTTEN, Verdict.MAY_HAVE_RUN);
  }

  @Test
  void runningRequestIsNotEvicted() {
    submit(id(1), 1, null, 0);
    for (int i = 2; i <= 20; i++) {
      ledger.query(id(i), INCARNATION, 0);
      ledger.evict(5_000);
    }
    assertThat(submit(id(1), 2, null, 5_000)).isEqualTo(new SubmitDecision.Attach<>("run-1"));
  }

  @Test
  void requestsOfEntryIncarnationsOverTheLimitAreNotRun() {
    submit(new RequestId("a", 1, 1), 1, null, 0);
    submit(new RequestId("b", 1, 1), 1, null, 0);
    assertFailed(
        submit(new RequestId("c", 1, 1), 1, null, 0), ErrorCode.FORGOTTEN, Verdict.MAY_HAVE_RUN);
  }

  @Test
  void repeatedKeyAttachesToItsFirstRun() {
    submit(id(1), 1, issuedKey("k", "body"), 0);
    assertThat(submit(id(2), 1, issuedKey("k", "body"), 0))
        .isEqualTo(new SubmitDecision.Attach<>("run-1"));
    assertThat(ledger.query(id(2), INCARNATION, 0)).isEqualTo(new QueryOutcome.Running<>("run-1"));
    assertRefused(submit(id(3), 1, issuedKey("k", "other body"), 0), ErrorCode.KEY_REUSED);
    assertFailed(
        submit(id(3), 2, issuedKey("k", "body"), 0), ErrorCode.SEALED, Verdict.MAY_HAVE_RUN);
  }

  /** A copy that is refused with SEALED would let the entry bind the key again. */
  @Test
  void copyOfAReusedKeyIsRefusedWithTheSameCode() {
    submit(id(1), 1, callerKey("k"), 0);
    IdempotencyKey other = IdempotencyKey.chosenByCaller("w", "k", new Fingerprint(1));
    assertRefused(submit(id(2), 1, other, 0), ErrorCode.KEY_REUSED);
    assertRefused(submit(id(2), 1, other, 0), ErrorCode.KEY_REUSED);
    ledger.query(id(3), INCARNATION, 0);
    assertRefused(submit(id(3), 1, other, 0), ErrorCode.KEY_REUSED);
  }

  @Test
  void equalKeysOfTwoWorkspacesAreIndependent() {
    submit(id(1), 1, callerKey("k"), 0);
    IdempotencyKey other =
        IdempotencyKey.chosenByCaller("w2", "k", Fingerprint.of("s", new byte[0]));
    assertThat(submit(id(2), 1, other, 0)).isEqualTo(new SubmitDecision.Run<>("run-2"));
  }

  @Test
  void refusalSealsTheKey() {
    assertRefused(
        refuse(id(1), 1, issuedKey("k", "b"), ErrorCode.OVERLOADED), ErrorCode.OVERLOADED);
    assertRefused(submit(id(2), 1, issuedKey("k", "b"), 0), ErrorCode.SEALED);
  }

  @Test
  void expiredKeyFailsUnlessItHasARecord() {
    submit(id(1), 1, issuedKey("k", "b"), 0);
    ledger.finish(id(1), 1);
    assertFailed(
        submit(id(2), 1, issuedKey("k", "b"), 5_001), ErrorCode.ANSWER_EXPIRED, Verdict.RAN);
    assertFailed(
        submit(id(3), 1, issuedKey("j", "b"), 5_000), ErrorCode.KEY_EXPIRED, Verdict.MAY_HAVE_RUN);
    ledger.evict(5_002);
    // The clock is set back after the record of the key was evicted.
    assertFailed(
        submit(id(4), 1, issuedKey("k", "b"), 10), ErrorCode.KEY_EXPIRED, Verdict.MAY_HAVE_RUN);
    assertThat(runCount).isEqualTo(1);
  }

  @Test
  void keyRecordOutlivesRequestRecord() {
    submit(id(1), 1, callerKey("k"), 0);
    ledger.finish(id(1), 0);
    ledger.evict(9_000);
    assertThat(ledger.size()).isEqualTo(0);
    assertFailed(submit(id(2), 1, callerKey("k"), 9_000), ErrorCode.ANSWER_EXPIRED, Verdict.RAN);
  }

  @Test
  void numberOfKeysIsLimited() {
    for (int i = 1; i <= 3; i++) {
      submit(id(i), 1, issuedKey("k" + i, "b"), 0);
    }
    for (int i = 4; i <= 6; i++) {
      assertRefused(submit(id(i), 1, issuedKey("k" + i, "b"), 0), ErrorCode.OVERLOADED);
    }
    // The ledger can no longer record a refusal, so the verdict must not be NOT_RUN.
    assertFailed(
        submit(id(7), 1, issuedKey("k7", "b"), 0), ErrorCode.OVERLOADED, Verdict.MAY_HAVE_RUN);
    assertThat(submit(id(8), 1, issuedKey("k1", "b"), 0)).isInstanceOf(SubmitDecision.Attach.class);
    assertThat(ledger.keyCount()).isEqualTo(6);
  }

  @Test
  void malformedKeyIsRefused() {
    assertRefused(submit(id(1), 1, callerKey("x".repeat(256)), 0), ErrorCode.KEY_TOO_LONG);
    assertRefused(submit(id(2), 1, callerKey("a b"), 0), ErrorCode.KEY_MALFORMED);
    assertRefused(submit(id(3), 1, callerKey(""), 0), ErrorCode.KEY_MALFORMED);
  }

  @Test
  void failedRunIsNotRunAgain() {
    submit(id(1), 1, callerKey("k"), 0);
    ledger.fail(id(1), ErrorCode.ENGINE_CRASHED, Verdict.MAY_HAVE_RUN, 1);
    assertFailed(
        submit(id(2), 1, callerKey("k"), 2), ErrorCode.ENGINE_CRASHED, Verdict.MAY_HAVE_RUN);
    submit(id(3), 1, null, 2);
    ledger.fail(id(3), ErrorCode.ENGINE_ERROR, Verdict.NOT_RUN, 3);
    assertRefused(submit(id(3), 2, null, 4), ErrorCode.ENGINE_ERROR);
    assertThat(ledger.query(id(3), INCARNATION, 4)).isEqualTo(new QueryOutcome.Sealed<>());
  }
}
