package org.tanagerbank.sidecar;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import org.junit.jupiter.api.Test;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.Fingerprint;
import org.tanagerbank.declaration.DeclarationParser;
import org.tanagerbank.ledger.Gate.Pass;
import org.tanagerbank.proto.LinkProto.Submit;
import org.tanagerbank.quarantine.CrashReport;
import org.tanagerbank.quarantine.Quarantine;

/** Guards against work that is admitted where it must not run, or beside what must run alone. */
final class AdmissionGateTest {
  private final Quarantine quarantine = new Quarantine();
  private final AdmissionGate gate = new AdmissionGate("model-pool", quarantine, -3_600_000);

  private void open() {
    gate.configure(
        DeclarationParser.parseValid(SidecarFixture.DECLARATION).service("model-pool").get(), 0);
    gate.setHealthy(true);
  }

  private Pass<ServedRequest> decide(Submit.Builder s) {
    ServedRequest run =
        new ServedRequest(
            Frames.idOf(EntryPeer.ref(1)), "w", new Fingerprint(0), false, false, null);
    return gate.decide(s.build(), () -> run, 0);
  }

  private static Submit.Builder submit(long fingerprint) {
    return Submit.newBuilder()
        .setService("model-pool")
        .setWorkspace("w")
        .setChatHash(fingerprint)
        .setFingerprint(fingerprint);
  }

  private static boolean isAdmitted(Pass<ServedRequest> pass) {
    return pass.run().isPresent();
  }

  private void crash(String id, long... fingerprints) {
    ImmutableSet.Builder<Fingerprint> prints = ImmutableSet.builder();
    for (long fingerprint : fingerprints) {
      prints.add(new Fingerprint(fingerprint));
    }
    quarantine.crashed(new CrashReport(id, prints.build(), 0), 0);
  }

  @Test
  void admitsOnlyWhenConfiguredHealthyAndStaying() {
    assertThat(decide(submit(1)).code()).isEqualTo(ErrorCode.NO_CONFIGURATION);
    open();
    gate.setHealthy(false);
    assertThat(decide(submit(1)).code()).isEqualTo(ErrorCode.NO_UPSTREAM);
    gate.setHealthy(true);
    assertThat(decide(submit(1).setService("other")).code()).isEqualTo(ErrorCode.UNKNOWN_SERVICE);
    assertThat(isAdmitted(decide(submit(1)))).isTrue();
    assertThat(gate.inFlight()).isEqualTo(1);
    gate.leave();
    assertThat(decide(submit(1)).code()).isEqualTo(ErrorCode.LEAVING);
    assertThat(gate.isAccepting()).isFalse();
  }

  @Test
  void suspectRunsAlone() {
    open();
    crash("c1", 1, 2);
    assertThat(isAdmitted(decide(submit(3)))).isTrue();
    assertThat(decide(submit(1)).code()).isEqualTo(ErrorCode.SUSPECT_WAITING);
    gate.ended("w", 0);
    assertThat(isAdmitted(decide(submit(1)))).isTrue();
    assertThat(decide(submit(3)).code()).isEqualTo(ErrorCode.SUSPECT_WAITING);
    gate.ended("w", 0);
    assertThat(isAdmitted(decide(submit(3)))).isTrue();
  }

  @Test
  void quarantinedIsRefusedWithTheTimeLeft() {
    open();
    crash("c1", 1);
    crash("c2", 1);
    Pass<ServedRequest> pass = decide(submit(1));
    assertThat(pass.code()).isEqualTo(ErrorCode.QUARANTINED);
    assertThat(pass.retryAfterMillis()).isEqualTo(Quarantine.CONDEMNED_MILLIS);
  }

  @Test
  void spilledChatIsPointedToItsHolderUnlessBound() {
    open();
    gate.spilled(5, "up-9");
    Pass<ServedRequest> pass = decide(submit(5));
    assertThat(pass.code()).isEqualTo(ErrorCode.MOVED);
    assertThat(pass.detail()).isEqualTo("up-9");
    assertThat(isAdmitted(decide(submit(5).setIdempotencyKey("k")))).isTrue();
    assertThat(isAdmitted(decide(submit(5)))).isTrue();
  }
}
