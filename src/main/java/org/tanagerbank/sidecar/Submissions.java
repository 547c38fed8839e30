package org.tanagerbank.sidecar;

import java.util.Optional;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.Fingerprint;
import org.tanagerbank.contract.RequestKey;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.ledger.KeyUse;
import org.tanagerbank.ledger.Submission;
import org.tanagerbank.proto.LinkProto.RequestRef;
import org.tanagerbank.proto.LinkProto.Submit;

/** Turns Submit frames into what the ledger decides on. Stateless. */
final class Submissions {
  private Submissions() {}

  /** Returns whether a reference names a request. */
  static boolean isValid(RequestRef ref) {
    return !ref.getEntryId().isEmpty() && ref.getSequence() > 0;
  }

  /** Returns what is wrong with the numbers of a Submit, if anything. */
  static Optional<String> faultOf(Submit s) {
    if (s.getAttempt() <= 0) {
      return Optional.of("attempt must be positive: " + s.getAttempt());
    }
    if (s.getResumePosition() < 0) {
      return Optional.of("resume position is too large");
    }
    return Optional.empty();
  }

  /**
   * Returns the submission of a valid Submit.
   *
   * @throws TanagerException with code {@code KEY_MALFORMED} or {@code KEY_REUSED} when the key
   *     cannot be for this request
   */
  static Submission of(Submit s) {
    String key = s.getIdempotencyKey();
    if (key.isEmpty()) {
      return submission(s, s.getIncarnation(), s.getNonIdempotent(), Optional.empty());
    }
    // A second call with the same body but another path asks for something else.
    String target = s.getService() + ' ' + s.getMethod() + ' ' + s.getPath();
    Fingerprint content = Fingerprint.of(target, s.getBody().toByteArray());
    if (!RequestKey.isIssued(key)) {
      KeyUse use = KeyUse.made(s.getWorkspace(), key, content);
      return submission(s, s.getIncarnation(), s.getNonIdempotent(), Optional.of(use));
    }
    RequestKey issued = RequestKey.parse(key);
    if (!issued.service().equals(s.getService())) {
      throw TanagerException.notRun(
          ErrorCode.KEY_REUSED, "the key was issued for service " + issued.service());
    }
    KeyUse use = KeyUse.issued(key, issued.expiresAtMillis(), content);
    // The key decides which incarnation may run the request, and that it runs once.
    return submission(s, issued.incarnation(), true, Optional.of(use));
  }

  private static Submission submission(
      Submit s, long incarnation, boolean nonIdempotent, Optional<KeyUse> key) {
    return new Submission(
        Frames.idOf(s.getRequest()), s.getAttempt(), incarnation, nonIdempotent, key);
  }
}
