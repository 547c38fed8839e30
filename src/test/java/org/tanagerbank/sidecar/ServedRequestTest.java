package org.tanagerbank.sidecar;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.Fingerprint;
import org.tanagerbank.contract.RequestId;
import org.tanagerbank.contract.Verdict;
import org.tanagerbank.http.HttpCall;
import org.tanagerbank.proto.LinkProto.RequestRef;

/** Guards against answers that are cut short, mixed up, or buffered without bound. */
final class ServedRequestTest {
  private static final RequestRef REF = EntryPeer.ref(1);

  private final FakeLink link = new FakeLink();
  private final LinkSession session = new LinkSession(link);
  private String ended = "";
  private long credit = ServedRequest.WINDOW_BYTES;
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

  private ServedRequest run(boolean nonIdempotent) {
    ServedRequest.Owner owner =
        new ServedRequest.Owner() {
          @Override
          public int finished(ServedRequest run) {
            ended = "finished";
            return 0;
          }

          @Override
          public void failed(ServedRequest run, ErrorCode code, Verdict verdict) {
            ended = code + " " + verdict;
          }

          @Override
          public void aborted(ServedRequest run, Exception cause) {
            ended = "aborted";
          }
        };
    RequestId id = Frames.idOf(REF);
    ServedRequest run = new ServedRequest(id, "w", new Fingerprint(1), nonIdempotent, true, owner);
    run.started(call);
    run.onHead(200, ImmutableMap.of("content-type", "text/event-stream"));
    return run;
  }

  private void attach(ServedRequest run, int attempt, long position, long creditBytes) {
    run.attach(new Delivery(session, REF, attempt, position, creditBytes));
  }

  @Test
  void upstreamIsHeldBackByTheDelivery() {
    ServedRequest run = run(false);
    attach(run, 1, 0, 10_000);
    run.onData(new byte[ServedRequest.WINDOW_BYTES]);
    assertThat(link.bytes()).isEqualTo(10_000);
    assertThat(credit).isEqualTo(10_000 + ServedRequest.WINDOW_BYTES);
    run.addCredit(REF, 1, 5_000);
    assertThat(credit).isEqualTo(15_000 + ServedRequest.WINDOW_BYTES);
    run.addCredit(REF, 2, 5_000);
    assertThat(link.bytes()).isEqualTo(15_000);
  }

  @Test
  void fullLinkPausesTheDelivery() {
    ServedRequest run = run(false);
    link.writable = false;
    attach(run, 1, 0, 1 << 20);
    run.onData(new byte[100_000]);
    run.onEnd();
    assertThat(link.sent).isEmpty();
    link.writable = true;
    session.resume();
    assertThat(link.bytes()).isEqualTo(100_000);
    assertThat(link.last().getEnd().getTotalBytes()).isEqualTo(100_000);
    assertThat(link.heartbeat).isFalse();
  }

  @Test
  void firstChunkTellsTheStatus() {
    ServedRequest run = run(false);
    attach(run, 1, 0, 1 << 20);
    run.onData(new byte[5]);
    run.onData(new byte[5]);
    assertThat(link.sent.get(0).getChunk().getHttpStatus()).isEqualTo(200);
    assertThat(link.sent.get(0).getChunk().getContentType()).isEqualTo("text/event-stream");
    assertThat(link.sent.get(1).getChunk().getHttpStatus()).isEqualTo(0);
  }

  @Test
  void unattendedRunIsNotHeldBackButCancelledInTime() {
    ServedRequest run = run(false);
    attach(run, 1, 0, 0);
    session.closed();
    run.onData(new byte[ServedRequest.WINDOW_BYTES]);
    assertThat(credit).isEqualTo(2 * ServedRequest.WINDOW_BYTES);
    run.cancelUnattended(10_000, 1_000);
    run.cancelUnattended(10_000, 11_000);
    assertThat(ended).isEmpty();
    run.cancelUnattended(10_000, 11_001);
    assertThat(ended).isEqualTo("CANCELLED MAY_HAVE_RUN");
    assertThat(cancelled).isTrue();
  }

  @Test
  void runThatMustNotRepeatGoesOnWithoutItsCaller() {
    ServedRequest run = run(true);
    attach(run, 1, 0, 100);
    run.cancel(REF, 1);
    run.cancelUnattended(10, 1);
    run.cancelUnattended(10, 1_000);
    assertThat(cancelled).isFalse();
    run.onEnd();
    assertThat(ended).isEqualTo("finished");
    attach(run, 2, 0, 100);
    assertThat(link.last().hasEnd()).isTrue();
  }

  @Test
  void cancelOfAnEarlierAttemptDoesNothing() {
    ServedRequest run = run(false);
    attach(run, 1, 0, 100);
    attach(run, 2, 0, 100);
    run.cancel(REF, 1);
    assertThat(cancelled).isFalse();
    run.onData(new byte[3]);
    assertThat(link.last().getChunk().getAttempt()).isEqualTo(2);
    run.cancel(REF, 2);
    assertThat(cancelled).isTrue();
  }

  @Test
  void brokenConnectionIsNeverASuccess() {
    ServedRequest run = run(false);
    attach(run, 1, 0, 1 << 20);
    run.onData(new byte[3]);
    run.onFailure(new IOException("reset"), true);
    assertThat(ended).isEqualTo("aborted");
    run.fail(ErrorCode.ENGINE_CRASHED, Verdict.MAY_HAVE_RUN, "crashed");
    run.onEnd();
    assertThat(ended).isEqualTo("ENGINE_CRASHED MAY_HAVE_RUN");
    assertThat(link.last().getFailed().getCode()).isEqualTo("ENGINE_CRASHED");
    attach(run, 2, 3, 100);
    assertThat(link.last().getFailed().getAttempt()).isEqualTo(2);
  }

  @Test
  void answerThatIsNoLongerKeptIsATypedError() {
    ServedRequest run = run(false);
    for (int i = 0; i < 40; i++) {
      run.onData(new byte[ServedRequest.WINDOW_BYTES / 10]);
    }
    run.onEnd();
    attach(run, 1, 0, 1 << 20);
    assertThat(link.last().getFailed().getCode()).isEqualTo("ANSWER_EXPIRED");
  }
}
