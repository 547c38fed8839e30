package org.tanagerbank.sidecar;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerbank.http.HttpCall;
import org.tanagerbank.proto.LinkProto.RequestRef;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.Fingerprint;
import org.tanagerbank.request.RequestId;
import org.tanagerbank.request.Verdict;

/**
 * Guards against answers that are cut short, mixed up between attempts, or buffered without bound.
 *
 * <p>This could happen when an entry is slow or its link closes, when an attempt replaces an
 * earlier one, or when the connection to the upstream breaks.
 */
final class UpstreamRunTest {
  private static final RequestRef REF = FakeEntry.ref(1);

  private final FakeLink link = new FakeLink();
  private final LinkSession session = new LinkSession(link);
  private String ended = "";
  private long credit = UpstreamRun.WINDOW_BYTES;
  private boolean cancelled;

  private final HttpCall call =
      new HttpCall() {
        @Override
        public void cancel() {
          cancelled = true;
        }

        @Override
        public void addCredit(int bytes) {
          credit += bytes;
        }
      };

  private UpstreamRun run(boolean nonIdempotent) {
    return run(nonIdempotent, 200);
  }

  private UpstreamRun run(boolean nonIdempotent, int status) {
    UpstreamRun.CompletionListener listener =
        new UpstreamRun.CompletionListener() {
          @Override
          public int onFinished(UpstreamRun run) {
            ended = "finished";
            return 0;
          }

          @Override
          public void onFailed(UpstreamRun run, ErrorCode code, Verdict verdict) {
            ended = code + " " + verdict;
          }

          @Override
          public void onConnectionLost(UpstreamRun run, Exception cause) {
            ended = "aborted";
          }
        };
    RequestId id = SidecarFrames.idOf(REF);
    UpstreamRun run = new UpstreamRun(id, "w", new Fingerprint(1), nonIdempotent, true, listener);
    run.setCall(call);
    run.onHead(status, ImmutableMap.of("content-type", "text/event-stream"));
    return run;
  }

  private void attach(UpstreamRun run, int attempt, long position, long creditBytes) {
    run.attach(new Delivery(session, REF, attempt, position, creditBytes));
  }

  /** Callers would take such a status for a promise that their request did not run. */
  @ParameterizedTest
  @ValueSource(ints = {408, 421, 429, 503})
  void statusThatPromisesNotRunIsNotPassedOn(int status) {
    UpstreamRun run = run(true, status);
    attach(run, 1, 0, 1 << 20);
    run.onData(new byte[10]);
    run.onEnd();
    assertThat(ended).isEqualTo("ENGINE_ERROR MAY_HAVE_RUN");
    assertThat(cancelled).isTrue();
    assertThat(link.answerBytes()).isEqualTo(0);
    assertThat(link.lastFrame().getFailed().getVerdict().name()).contains("MAY_HAVE_RUN");
  }

  @Test
  void slowDeliveryLimitsUpstreamCredit() {
    UpstreamRun run = run(false);
    attach(run, 1, 0, 10_000);
    run.onData(new byte[UpstreamRun.WINDOW_BYTES]);
    assertThat(link.answerBytes()).isEqualTo(10_000);
    assertThat(credit).isEqualTo(10_000 + UpstreamRun.WINDOW_BYTES);
    run.addCredit(REF, 1, 5_000);
    assertThat(credit).isEqualTo(15_000 + UpstreamRun.WINDOW_BYTES);
    run.addCredit(REF, 2, 5_000);
    assertThat(link.answerBytes()).isEqualTo(15_000);
  }

  @Test
  void fullSendBufferPausesDelivery() {
    UpstreamRun run = run(false);
    link.writable = false;
    attach(run, 1, 0, 1 << 20);
    run.onData(new byte[100_000]);
    run.onEnd();
    assertThat(link.sent).isEmpty();
    link.writable = true;
    session.resumeDeliveries();
    assertThat(link.answerBytes()).isEqualTo(100_000);
    assertThat(link.lastFrame().getEnd().getTotalBytes()).isEqualTo(100_000);
    assertThat(link.heartbeat).isFalse();
  }

  @Test
  void onlyFirstChunkContainsStatus() {
    UpstreamRun run = run(false);
    attach(run, 1, 0, 1 << 20);
    run.onData(new byte[5]);
    run.onData(new byte[5]);
    assertThat(link.sent.get(0).getChunk().getHttpStatus()).isEqualTo(200);
    assertThat(link.sent.get(0).getChunk().getContentType()).isEqualTo("text/event-stream");
    assertThat(link.sent.get(1).getChunk().getHttpStatus()).isEqualTo(0);
  }

  @Test
  void unattendedRunGetsCreditUntilCancelled() {
    UpstreamRun run = run(false);
    attach(run, 1, 0, 0);
    session.endDeliveries();
    run.onData(new byte[UpstreamRun.WINDOW_BYTES]);
    assertThat(credit).isEqualTo(2 * UpstreamRun.WINDOW_BYTES);
    run.cancelUnattended(10_000, 1_000);
    run.cancelUnattended(10_000, 11_000);
    assertThat(ended).isEmpty();
    run.cancelUnattended(10_000, 11_001);
    assertThat(ended).isEqualTo("CANCELLED MAY_HAVE_RUN");
    assertThat(cancelled).isTrue();
  }

  @Test
  void nonIdempotentRunContinuesWithoutDelivery() {
    UpstreamRun run = run(true);
    attach(run, 1, 0, 100);
    run.cancel(REF, 1);
    run.cancelUnattended(10, 1);
    run.cancelUnattended(10, 1_000);
    assertThat(cancelled).isFalse();
    run.onEnd();
    assertThat(ended).isEqualTo("finished");
    attach(run, 2, 0, 100);
    assertThat(link.lastFrame().hasEnd()).isTrue();
  }

  @Test
  void cancelOfEarlierAttemptHasNoEffect() {
    UpstreamRun run = run(false);
    attach(run, 1, 0, 100);
    attach(run, 2, 0, 100);
    run.cancel(REF, 1);
    assertThat(cancelled).isFalse();
    run.onData(new byte[3]);
    assertThat(link.lastFrame().getChunk().getAttempt()).isEqualTo(2);
    run.cancel(REF, 2);
    assertThat(cancelled).isTrue();
  }

  @Test
  void brokenConnectionNeverEndsInSuccess() {
    UpstreamRun run = run(false);
    attach(run, 1, 0, 1 << 20);
    run.onData(new byte[3]);
    run.onFailure(new IOException("reset"), true);
    assertThat(ended).isEqualTo("aborted");
    run.fail(ErrorCode.ENGINE_CRASHED, Verdict.MAY_HAVE_RUN, "crashed");
    run.onEnd();
    assertThat(ended).isEqualTo("ENGINE_CRASHED MAY_HAVE_RUN");
    assertThat(link.lastFrame().getFailed().getCode()).isEqualTo("ENGINE_CRASHED");
    attach(run, 2, 3, 100);
    assertThat(link.lastFrame().getFailed().getAttempt()).isEqualTo(2);
  }

  @Test
  void deliveryOfDroppedBytesFailsWithAnswerExpired() {
    UpstreamRun run = run(false);
    for (int i = 0; i < 40; i++) {
      run.onData(new byte[UpstreamRun.WINDOW_BYTES / 10]);
    }
    run.onEnd();
    attach(run, 1, 0, 1 << 20);
    assertThat(link.lastFrame().getFailed().getCode()).isEqualTo("ANSWER_EXPIRED");
  }

  /**
   * A crash closes the connection in the same way as a response without a length or chunks ends.
   */
  @Test
  void answerThatEndsWithItsConnectionIsWholeOnlyIfTheUpstreamSurvives() {
    UpstreamRun run = run(false);
    attach(run, 1, 0, 1 << 20);
    run.onData("data: x\n\n".getBytes(UTF_8));
    run.onEndWithConnection();
    assertThat(ended).isEqualTo("aborted");
    assertThat(link.lastFrame().hasEnd()).isFalse();
    run.upstreamSurvived();
    assertThat(ended).isEqualTo("finished");
    assertThat(link.lastFrame().getEnd().getTotalBytes()).isEqualTo(9);
  }

  @Test
  void answerThatEndsWithItsConnectionInsideAnEventIsBrokenOff() {
    UpstreamRun run = run(false);
    attach(run, 1, 0, 1 << 20);
    run.onData("data: x\n\ndata:".getBytes(UTF_8));
    run.onEndWithConnection();
    run.upstreamSurvived();
    assertThat(ended).isEqualTo("ENGINE_ERROR MAY_HAVE_RUN");
    assertThat(link.lastFrame().hasEnd()).isFalse();
  }
}
