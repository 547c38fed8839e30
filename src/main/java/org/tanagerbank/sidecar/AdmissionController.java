package org.tanagerbank.sidecar;

import java.util.function.Supplier;
import org.tanagerbank.declaration.ServiceKind;
import org.tanagerbank.declaration.ServiceSpec;
import org.tanagerbank.ledger.AdmissionCheck.Result;
import org.tanagerbank.proto.LinkProto.MeanLoad;
import org.tanagerbank.proto.LinkProto.Submit;
import org.tanagerbank.quarantine.Quarantine;
import org.tanagerbank.quarantine.QuarantineStatus;
import org.tanagerbank.request.ChatKey;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.Fingerprint;
import org.tanagerbank.routing.AdmissionDecision;
import org.tanagerbank.routing.BoundedAdmission;
import org.tanagerbank.routing.ChatDirectory;
import org.tanagerbank.routing.MeanLoadEstimate;

/**
 * Decides whether a request that is new to the ledger may run now.
 *
 * <p>A request is refused if the sidecar has no configuration or is leaving, if the request is
 * quarantined, if the upstream is not healthy, if a suspect would not run alone, if the chat should
 * run at another upstream, or if the load bound is reached. Guarded by its own monitor, so that no
 * other request is admitted between the check of a suspect and the count of its run; thread-safe.
 */
final class AdmissionController {
  private static final double MILLI_REQUESTS_PER_REQUEST = 1_000;

  /** The number of chats in the chat directory. */
  private static final int MAX_HOME_CHATS = 4_096;

  private static final long UNHEALTHY_RETRY_MILLIS = 1_000;
  private static final long SUSPECT_RETRY_MILLIS = 1_000;
  private static final long CONFIGURATION_RETRY_MILLIS = 2_000;

  private final String service;
  private final Quarantine quarantine;
  private final ChatDirectory chatDirectory;
  private ServiceSpec spec;
  private BoundedAdmission admission;
  private boolean leaving;
  private boolean healthy;
  private boolean suspectRunning;
  private int liveUpstreams = 1;

  AdmissionController(String service, Quarantine quarantine, long nowMillis) {
    this.service = service;
    this.quarantine = quarantine;
    this.chatDirectory = new ChatDirectory(MAX_HOME_CHATS, nowMillis);
  }

  /** Applies the declaration of the service. No request is admitted before the first call. */
  synchronized void configure(ServiceSpec newSpec, long nowMillis) {
    if (admission == null) {
      admission = new BoundedAdmission(newSpec);
    } else {
      admission.configure(newSpec, nowMillis);
    }
    spec = newSpec;
  }

  /**
   * Updates the estimate of the mean load of the service. An estimate without live upstreams, or
   * one before the first configuration, has no effect.
   */
  synchronized void updateMeanLoad(MeanLoad mean, long nowMillis) {
    if (admission != null && mean.getLiveUpstreams() > 0) {
      liveUpstreams = mean.getLiveUpstreams();
      admission.updateMean(
          new MeanLoadEstimate(
              mean.getMilliRequests() / MILLI_REQUESTS_PER_REQUEST,
              mean.getLiveUpstreams(),
              nowMillis - mean.getAgeMillis()),
          nowMillis);
    }
  }

  /** Sets whether the upstream is healthy. No request is admitted while it is not. */
  synchronized void setHealthy(boolean isHealthy) {
    healthy = isHealthy;
  }

  /** Refuses all new requests from now on. */
  synchronized void startLeaving() {
    leaving = true;
    if (admission != null) {
      admission.startLeaving();
    }
  }

  /** Records that another upstream served a chat whose home is this one. */
  void recordSpill(long chatHash, String upstreamId) {
    chatDirectory.recordSpill(new ChatKey(chatHash), upstreamId);
  }

  /**
   * Decides whether a request may run now.
   *
   * @param runFactory creates the run; called only if the request is admitted, which also counts it
   */
  synchronized Result<UpstreamRun> decide(
      Submit submit, Supplier<UpstreamRun> runFactory, long nowMillis) {
    if (spec == null) {
      return Result.refuse(ErrorCode.NO_CONFIGURATION, CONFIGURATION_RETRY_MILLIS);
    }
    if (leaving) {
      return Result.refuse(ErrorCode.LEAVING, 0);
    }
    if (!submit.getService().equals(service)) {
      return Result.refuse(ErrorCode.UNKNOWN_SERVICE, 0);
    }
    Fingerprint fingerprint = new Fingerprint(submit.getFingerprint());
    QuarantineStatus status = quarantine.status(fingerprint, nowMillis);
    if (status == QuarantineStatus.QUARANTINED) {
      long until = quarantine.expiryMillis(fingerprint, nowMillis).orElse(nowMillis);
      return Result.refuse(ErrorCode.QUARANTINED, until - nowMillis);
    }
    if (!healthy) {
      return Result.refuse(ErrorCode.NO_UPSTREAM, UNHEALTHY_RETRY_MILLIS);
    }
    boolean suspect = status == QuarantineStatus.SUSPECT;
    if (suspectRunning || (suspect && admission.inFlight() > 0)) {
      return Result.refuse(ErrorCode.SUSPECT_WAITING, SUSPECT_RETRY_MILLIS);
    }
    return admit(submit, suspect, runFactory, nowMillis);
  }

  /** Records that an admitted request of a workspace has ended. */
  synchronized void recordEnd(String workspace, long nowMillis) {
    suspectRunning = false;
    admission.recordEnded(workspace, nowMillis);
  }

  /** Returns the number of requests in flight. */
  synchronized int inFlight() {
    return admission == null ? 0 : admission.inFlight();
  }

  /** Returns the number of live upstreams in the last estimate; 1 before the first. */
  synchronized int liveUpstreams() {
    return liveUpstreams;
  }

  /** Returns whether the sidecar is configured, its upstream healthy, and it is not leaving. */
  synchronized boolean isAccepting() {
    return spec != null && healthy && !leaving;
  }

  /**
   * Returns the longest time that a planned stop may wait; 0 for no limit, also before the first
   * configuration.
   */
  synchronized long drainLimitMillis() {
    return spec == null ? 0 : spec.drainLimitMillis();
  }

  private Result<UpstreamRun> admit(
      Submit submit, boolean suspect, Supplier<UpstreamRun> runFactory, long nowMillis) {
    boolean isChat = spec.kind() == ServiceKind.ENGINE;
    ChatKey key = new ChatKey(submit.getChatHash());
    // A request with a key must run at this sidecar's upstream, even if the prefix of the chat is
    // cached at another one.
    if (isChat && !submit.getIgnoreHint() && submit.getIdempotencyKey().isEmpty()) {
      ChatDirectory.Hint hint = chatDirectory.hint(key, admission.isAboveMean(), nowMillis);
      if (hint instanceof ChatDirectory.Hint.MovedTo moved) {
        return Result.moved(moved.upstreamId());
      }
      if (hint instanceof ChatDirectory.Hint.Elsewhere) {
        return Result.moved("");
      }
    }
    AdmissionDecision decision = admission.admit(submit.getWorkspace(), nowMillis);
    if (decision instanceof AdmissionDecision.Reject reject) {
      return Result.refuse(reject.code(), reject.retryAfterMillis());
    }
    suspectRunning = suspect;
    if (isChat) {
      chatDirectory.recordServedHere(key);
    }
    return Result.admit(runFactory.get());
  }
}
