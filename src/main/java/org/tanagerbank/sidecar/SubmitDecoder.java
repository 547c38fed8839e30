package org.tanagerbank.sidecar;

import java.util.Optional;
import org.tanagerbank.ledger.IdempotencyKey;
import org.tanagerbank.ledger.Submission;
import org.tanagerbank.proto.LinkProto.RequestRef;
import org.tanagerbank.proto.LinkProto.Submit;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.Fingerprint;
import org.tanagerbank.request.RequestKey;
import org.tanagerbank.request.TanagerException;

/** Validates Submit frames and converts them to the ledger's {@link Submission}. Stateless. */
final class SubmitDecoder {
  private SubmitDecoder() {}

  /** Returns whether a reference has an entry id and a positive sequence number. */
  static boolean isValid(RequestRef ref) {
    return !ref.getEntryId().isEmpty() && ref.getSequence() > 0;
  }

  /**
   * Returns why the attempt or the resume position of a Submit is invalid; empty if both are valid.
   */
  static Optional<String> findFault(Submit submit) {
    if (submit.getAttempt() <= 0) {
      return Optional.of("attempt must be positive: " + submit.getAttempt());
    }
    if (submit.getResumePosition() < 0) {
      return Optional.of(
          "resume position must be below 2^63; as a signed number it is "
              + submit.getResumePosition());
    }
    return Optional.empty();
  }

  /**
   * Converts a valid Submit, including its idempotency key if it has one.
   *
   * @throws TanagerException with code {@code KEY_MALFORMED} if the key starts like an issued key
   *     but cannot be parsed, or {@code KEY_REUSED} if it was issued for another service
   */
  static Submission of(Submit submit) {
    String key = submit.getIdempotencyKey();
    if (key.isEmpty()) {
      return buildSubmission(
          submit, submit.getIncarnation(), submit.getNonIdempotent(), Optional.empty());
    }
    // The fingerprint covers the path, because the same body sent to another path is a different
    // request.
    String callTarget = submit.getService() + ' ' + submit.getMethod() + ' ' + submit.getPath();
    Fingerprint content = Fingerprint.of(callTarget, submit.getBody().toByteArray());
    if (!RequestKey.isIssued(key)) {
      IdempotencyKey idempotencyKey =
          IdempotencyKey.chosenByCaller(submit.getWorkspace(), key, content);
      return buildSubmission(
          submit, submit.getIncarnation(), submit.getNonIdempotent(), Optional.of(idempotencyKey));
    }
    RequestKey issued = RequestKey.parse(key);
    if (!issued.service().equals(submit.getService())) {
      throw TanagerException.notRun(
          ErrorCode.KEY_REUSED,
          "the key was issued for service "
              + issued.service()
              + ", but the request is for service "
              + submit.getService());
    }
    IdempotencyKey idempotencyKey =
        IdempotencyKey.issuedByEntry(key, issued.expiresAtMillis(), content);
    // An issued key names the incarnation that may run the request. The request runs at most once,
    // whatever the caller declared.
    return buildSubmission(submit, issued.incarnation(), true, Optional.of(idempotencyKey));
  }

  private static Submission buildSubmission(
      Submit submit, long incarnation, boolean nonIdempotent, Optional<IdempotencyKey> key) {
    return new Submission(
        SidecarFrames.idOf(submit.getRequest()),
        submit.getAttempt(),
        incarnation,
        nonIdempotent,
        key);
  }
}
