package org.tanagerbank.dispatch;

import java.util.Optional;
import org.tanagerbank.admission.AdmissionRequest;
import org.tanagerbank.admission.SizeClass;
import org.tanagerbank.engine.Prompt;
import org.tanagerbank.request.Fingerprint;
import org.tanagerbank.route.RequestKind;
import org.tanagerbank.route.Route;
import org.tanagerbank.route.Workspace;

/**
 * What the placement of a request depends on and does not change between its attempts. Immutable.
 *
 * @param bodyBytes the length of its body
 */
record PlacedRequest(
    Fingerprint fingerprint,
    Route route,
    Optional<Workspace> workspace,
    Optional<Prompt> prompt,
    int bodyBytes) {
  boolean isStream() {
    return route.kind() == RequestKind.STREAM;
  }

  /** Returns its priority, which its workspace may set instead of its route. */
  int priority() {
    return workspace.map(w -> w.priorityOn(route)).orElse(route.priority());
  }

  /** Returns the request as it is admitted for its next attempt. */
  AdmissionRequest toAdmission(PlacementState state, long wallMillis) {
    SizeClass size =
        prompt.map(p -> SizeClass.ofTokens(p.promptTokens())).orElse(SizeClass.ofBytes(bodyBytes));
    long objectiveMillis =
        route.objectiveMillis() > 0 ? route.objectiveMillis() : route.timeoutMillis();
    return new AdmissionRequest(
        fingerprint.value(),
        wallMillis,
        route.name(),
        workspace.map(Workspace::name).orElse(""),
        priority(),
        size,
        objectiveMillis,
        state.timeLeftMillis(),
        state.hasBegun());
  }
}
