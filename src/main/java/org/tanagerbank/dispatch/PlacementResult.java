package org.tanagerbank.dispatch;

import java.util.Optional;
import org.tanagerbank.request.Fingerprint;

/**
 * How the next attempt of a request proceeds. Immutable. The request waits and asks again if there
 * is neither a choice nor a refusal.
 *
 * @param choice the upstream to send it to
 * @param onTrial the suspect that is on trial in this attempt
 * @param refusal why it is not sent
 */
record PlacementResult(
    Optional<UpstreamChoice> choice, Optional<Fingerprint> onTrial, Optional<Refusal> refusal) {
  static PlacementResult sent(UpstreamChoice choice, Optional<Fingerprint> onTrial) {
    return new PlacementResult(Optional.of(choice), onTrial, Optional.empty());
  }

  static PlacementResult waiting() {
    return new PlacementResult(Optional.empty(), Optional.empty(), Optional.empty());
  }

  static PlacementResult refused(Refusal refusal) {
    return new PlacementResult(Optional.empty(), Optional.empty(), Optional.of(refusal));
  }
}
