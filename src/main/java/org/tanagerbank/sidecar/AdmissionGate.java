package org.tanagerbank.sidecar;

import java.util.function.Supplier;
import org.tanagerbank.contract.ChatKey;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.Fingerprint;
import org.tanagerbank.declaration.ServiceKind;
import org.tanagerbank.declaration.ServiceSpec;
import org.tanagerbank.ledger.Gate.Pass;
import org.tanagerbank.proto.LinkProto.MeanLoad;
import org.tanagerbank.proto.LinkProto.Submit;
import org.tanagerbank.quarantine.Quarantine;
import org.tanagerbank.quarantine.Standing;
import org.tanagerbank.routing.AdmissionDecision;
import org.tanagerbank.routing.BoundedAdmission;
import org.tanagerbank.routing.HomeDirectory;
import org.tanagerbank.routing.MeanEstimate;

/**
 * Decides whether a request that the ledger does not know may run now.
 *
 * <p>Brings together what can speak against it: no configuration, leaving, an upstream that is not
 * healthy, quarantine, the home directory and the load bound. Guarded by its own monitor, so that a
 * suspect is never joined by another request between check and count; thread-safe.
 */
final class AdmissionGate {
  private static final double MILLI = 1_000;
  private static final int HOME_CHATS = 4_096;
  private static final long UNHEALTHY_RETRY_MILLIS = 1_000;
  private static final long SUSPECT_RETRY_MILLIS = 1_000;
  private static final long CONFIGURATION_RETRY_MILLIS = 2_000;

  private final String service;
  private final Quarantine quarantine;
  private final HomeDirectory homes;
  private ServiceSpec spec;
  private BoundedAdmission admission;
  private boolean leaving;
  private boolean healthy;
  private boolean suspectRunning;
  private int liveUpstreams = 1;

  AdmissionGate(String service, Quarantine quarantine, long nowMillis) {
    this.service = service;
    this.quarantine = quarantine;
    this.homes = new HomeDirectory(HOME_CHATS, nowMillis);
  }

  /** Takes the declaration of the service, without which nothing is admitted. */
  synchronized void configure(ServiceSpec newSpec, long nowMillis) {
    if (admission == null) {
      admission = new BoundedAdmission(newSpec);
    } else {
      admission.configure(newSpec, nowMillis);
    }
    spec = newSpec;
  }

  /** Takes an estimate of the mean load of the service. */
  synchronized void meanReported(MeanLoad mean, long nowMillis) {
    if (admission != null && mean.getLiveUpstreams() > 0) {
      liveUpstreams = mean.getLiveUpstreams();
      admission.meanReported(
          new MeanEstimate(
              mean.getMilliRequests() / MILLI,
              mean.getLiveUpstreams(),
              nowMillis - mean.getAgeMillis()),
          nowMillis);
    }
  }

  /** Takes whether the upstream may be given work. */
  synchronized void setHealthy(boolean nowHealthy) {
    healthy = nowHealthy;
  }

  /** Refuses all new work from now on. */
  synchronized void leave() {
    leaving = true;
    if (admission != null) {
      admission.leave();
    }
  }

  /** Notes that a chat whose home is here was served elsewhere. */
  void spilled(long chatHash, String upstreamId) {
    homes.spilled(new ChatKey(chatHash), upstreamId);
  }

  /** Decides on a request, and makes and counts its run when it is admitted. */
  synchronized Pass<ServedRequest> decide(
      Submit s, Supplier<ServedRequest> newRun, long nowMillis) {
    if (spec == null) {
      return Pass.refuse(ErrorCode.NO_CONFIGURATION, CONFIGURATION_RETRY_MILLIS);
    }
    if (leaving) {
      return Pass.refuse(ErrorCode.LEAVING, 0);
    }
    if (!s.getService().equals(service)) {
      return Pass.refuse(ErrorCode.UNKNOWN_SERVICE, 0);
    }
    Fingerprint fingerprint = new Fingerprint(s.getFingerprint());
    Standing standing = quarantine.standing(fingerprint, nowMillis);
    if (standing == Standing.QUARANTINED) {
      long until = quarantine.quarantinedUntil(fingerprint, nowMillis).orElse(nowMillis);
      return Pass.refuse(ErrorCode.QUARANTINED, until - nowMillis);
    }
    if (!healthy) {
      return Pass.refuse(ErrorCode.NO_UPSTREAM, UNHEALTHY_RETRY_MILLIS);
    }
    boolean suspect = standing == Standing.SUSPECT;
    if (suspectRunning || (suspect && admission.inFlight() > 0)) {
      return Pass.refuse(ErrorCode.SUSPECT_WAITING, SUSPECT_RETRY_MILLIS);
    }
    return admit(s, suspect, newRun, nowMillis);
  }

  /** Notes that an admitted request has ended. */
  synchronized void ended(String workspace, long nowMillis) {
    suspectRunning = false;
    admission.ended(workspace, nowMillis);
  }

  /** Returns the number of requests in flight. */
  synchronized int inFlight() {
    return admission == null ? 0 : admission.inFlight();
  }

  /** Returns the number of live upstreams of the service as last heard. */
  synchronized int liveUpstreams() {
    return liveUpstreams;
  }

  /** Returns whether requests can be admitted at all. */
  synchronized boolean isAccepting() {
    return spec != null && healthy && !leaving;
  }

  /** Returns the longest time that a planned stop may wait; 0 for no limit. */
  synchronized long drainLimitMillis() {
    return spec == null ? 0 : spec.drainLimitMillis();
  }

  private Pass<ServedRequest> admit(
      Submit s, boolean suspect, Supplier<ServedRequest> newRun, long nowMillis) {
    boolean chat = spec.kind() == ServiceKind.ENGINE;
    ChatKey key = new ChatKey(s.getChatHash());
    // A key is bound to this sidecar, so its request cannot follow the chat's cache.
    if (chat && !s.getIgnoreHint() && s.getIdempotencyKey().isEmpty()) {
      HomeDirectory.Hint hint = homes.hint(key, admission.isBusy(), nowMillis);
      if (hint instanceof HomeDirectory.Hint.MovedTo moved) {
        return Pass.moved(moved.upstreamId());
      }
      if (hint instanceof HomeDirectory.Hint.Elsewhere) {
        return Pass.moved("");
      }
    }
    AdmissionDecision decision = admission.admit(s.getWorkspace(), nowMillis);
    if (decision instanceof AdmissionDecision.Reject reject) {
      return Pass.refuse(reject.code(), reject.retryAfterMillis());
    }
    suspectRunning = suspect;
    if (chat) {
      homes.servedHere(key);
    }
    return Pass.admit(newRun.get());
  }
}
