package org.tanagerbank.sidecar;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import org.junit.jupiter.api.Test;
import org.tanagerbank.declaration.DeclarationParser;
import org.tanagerbank.ledger.AdmissionCheck.Result;
import org.tanagerbank.proto.LinkProto.Submit;
import org.tanagerbank.quarantine.CrashReport;
import org.tanagerbank.quarantine.Quarantine;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.Fingerprint;

/**
 * Guards against requests that are admitted although they must not run here, or that run at the
 * same time as a suspect, which must run alone.
 */
final class AdmissionControllerTest {
  private final Quarantine quarantine = new Quarantine();
  private final AdmissionController admission =
      new AdmissionController("model-pool", quarantine, -3_600_000);

  private void configureHealthy() {
    admission.configure(
        DeclarationParser.parseValid(SidecarFixture.DECLARATION).service("model-pool").get(), 0);
    admission.setHealthy(true);
  }

  private Result<UpstreamRun> decide(Submit.Builder submit) {
    UpstreamRun run =
        new UpstreamRun(
            SidecarFrames.idOf(FakeEntry.ref(1)), "w", new Fingerprint(0), false, false, null);
    return admission.decide(submit.build(), () -> run, 0);
  }

  private static Submit.Builder submit(long fingerprint) {
    return Submit.newBuilder()
        .setService("model-pool")
        .setWorkspace("w")
        .setChatHash(fingerprint)
        .setFingerprint(fingerprint);
  }

  private static boolean isAdmitted(Result<UpstreamRun> pass) {
    return pass.run().isPresent();
  }

  private void crash(String id, long... fingerprints) {
    ImmutableSet.Builder<Fingerprint> builder = ImmutableSet.builder();
    for (long fingerprint : fingerprints) {
      builder.add(new Fingerprint(fingerprint));
    }
    quarantine.recordCrash(new CrashReport(id, builder.build(), 0), 0);
  }

  @Test
  void admitsOnlyWhenConfiguredHealthyAndNotLeaving() {
    assertThat(decide(submit(1)).code()).isEqualTo(ErrorCode.NO_CONFIGURATION);
    configureHealthy();
    admission.setHealthy(false);
    assertThat(decide(submit(1)).code()).isEqualTo(ErrorCode.NO_UPSTREAM);
    admission.setHealthy(true);
    assertThat(decide(submit(1).setService("other")).code()).isEqualTo(ErrorCode.UNKNOWN_SERVICE);
    assertThat(isAdmitted(decide(submit(1)))).isTrue();
    assertThat(admission.inFlight()).isEqualTo(1);
    admission.startLeaving();
    assertThat(decide(submit(1)).code()).isEqualTo(ErrorCode.LEAVING);
    assertThat(admission.isAccepting()).isFalse();
  }

  @Test
  void suspectRunsAlone() {
    configureHealthy();
    crash("c1", 1, 2);
    assertThat(isAdmitted(decide(submit(3)))).isTrue();
    assertThat(decide(submit(1)).code()).isEqualTo(ErrorCode.SUSPECT_WAITING);
    admission.recordEnd("w", 0);
    assertThat(isAdmitted(decide(submit(1)))).isTrue();
    assertThat(decide(submit(3)).code()).isEqualTo(ErrorCode.SUSPECT_WAITING);
    admission.recordEnd("w", 0);
    assertThat(isAdmitted(decide(submit(3)))).isTrue();
  }

  @Test
  void quarantinedRequestIsRefusedWithRemainingTime() {
    configureHealthy();
    crash("c1", 1);
    crash("c2", 1);
    Result<UpstreamRun> pass = decide(submit(1));
    assertThat(pass.code()).isEqualTo(ErrorCode.QUARANTINED);
    assertThat(pass.retryAfterMillis()).isEqualTo(Quarantine.QUARANTINE_MILLIS);
  }

  @Test
  void spilledChatIsRedirectedUnlessItHasKey() {
    configureHealthy();
    admission.recordSpill(5, "up-9");
    Result<UpstreamRun> pass = decide(submit(5));
    assertThat(pass.code()).isEqualTo(ErrorCode.MOVED);
    assertThat(pass.detail()).isEqualTo("up-9");
    assertThat(isAdmitted(decide(submit(5).setIdempotencyKey("k")))).isTrue();
    assertThat(isAdmitted(decide(submit(5)))).isTrue();
  }
}
