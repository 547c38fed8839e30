package org.tanagerbank.quarantine;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.tanagerbank.request.Fingerprint;

/** Guards against a suspect that runs more than once at a time, or never. */
final class TrialClaimsTest {
  private static final Fingerprint SUSPECT = new Fingerprint(77);
  private static final long WAIT = TrialClaims.CLAIM_WAIT_MILLIS;

  private final TrialClaims claims = new TrialClaims("a");

  @Test
  void requestStartsAfterTheWaitAndOthersAfterItsEnd() {
    assertThat(claims.tryStart(SUSPECT, "r1", 0)).isFalse();
    assertThat(claims.tryStart(SUSPECT, "r2", WAIT)).isFalse();
    assertThat(claims.tryStart(SUSPECT, "r1", WAIT)).isTrue();
    assertThat(claims.ownClaims(WAIT)).containsExactly(new TrialClaim(SUSPECT, true, 0));
    claims.end(SUSPECT, "r1", false, 200);
    assertThat(claims.tryStart(SUSPECT, "r2", 200)).isFalse();
    assertThat(claims.tryStart(SUSPECT, "r2", 200 + WAIT)).isTrue();
  }

  @Test
  void lostRunKeepsItsClaimUntilTheCrashIsKnown() {
    claims.tryStart(SUSPECT, "r1", 0);
    claims.tryStart(SUSPECT, "r1", WAIT);
    claims.end(SUSPECT, "r1", true, 200);
    claims.abandon(SUSPECT, "r1");
    long settled = 200 + TrialClaims.SETTLE_MILLIS;
    assertThat(claims.tryStart(SUSPECT, "r1", settled - 1)).isFalse();
    assertThat(claims.ownClaims(settled - 1)).hasSize(1);
    assertThat(claims.ownClaims(settled)).isEmpty();
  }

  /** Others would not hear of a claim that does not fit a message, and run the request too. */
  @Test
  void claimsBeyondTheBoundAreNotTaken() {
    for (int i = 0; i < TrialClaims.MAX_CLAIMS; i++) {
      claims.tryStart(new Fingerprint(100 + i), this, 0);
    }
    assertThat(claims.tryStart(SUSPECT, "r", 0)).isFalse();
    assertThat(claims.tryStart(SUSPECT, "r", WAIT)).isFalse();
    assertThat(claims.isTaken(SUSPECT, "r", WAIT)).isTrue();
    assertThat(claims.ownClaims(WAIT)).hasSize(TrialClaims.MAX_CLAIMS);
    claims.abandon(new Fingerprint(100), this);
    claims.tryStart(SUSPECT, "r", WAIT);
    assertThat(claims.tryStart(SUSPECT, "r", 2 * WAIT)).isTrue();
  }

  /** The connection failed, so that the trial goes to another upstream. */
  @Test
  void trialThatWasNotSentMayStartAgain() {
    claims.tryStart(SUSPECT, "r1", 0);
    assertThat(claims.tryStart(SUSPECT, "r1", WAIT)).isTrue();
    assertThat(claims.tryStart(SUSPECT, "r1", WAIT + 1)).isTrue();
    claims.abandon(SUSPECT, "r1");
    assertThat(claims.ownClaims(WAIT + 1)).isEmpty();
  }

  @Test
  void runningClaimOfAnotherInstanceGoesFirst() {
    claims.setPeerClaims("b", ImmutableList.of(new TrialClaim(SUSPECT, true, 0)));
    assertThat(claims.tryStart(SUSPECT, "r1", 0)).isFalse();
    assertThat(claims.tryStart(SUSPECT, "r1", WAIT)).isFalse();
    claims.setPeerClaims("b", ImmutableList.of());
    assertThat(claims.tryStart(SUSPECT, "r1", WAIT)).isTrue();
  }

  @Test
  void ofInstancesThatClaimAtOnceExactlyOneStarts() {
    List<TrialClaims> instances =
        IntStream.range(0, 9).mapToObj(i -> new TrialClaims("g" + i)).toList();
    instances.forEach(c -> c.tryStart(SUSPECT, c, 0));
    for (int from = 0; from < instances.size(); from++) {
      for (TrialClaims to : instances) {
        if (to != instances.get(from)) {
          to.setPeerClaims("g" + from, instances.get(from).ownClaims(1));
        }
      }
    }
    assertThat(instances.stream().filter(c -> c.tryStart(SUSPECT, c, WAIT)).toList()).hasSize(1);
  }
}
