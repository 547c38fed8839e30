package org.tanagerbank.sidecar;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.proto.LinkProto.Outcome;
import org.tanagerbank.proto.LinkProto.RequestRef;
import org.tanagerbank.proto.LinkProto.Submit;
import org.tanagerbank.proto.LinkProto.VerdictCode;
import org.tanagerbank.standin.ChatMessage;
import org.tanagerbank.standin.EngineSettings;
import org.tanagerbank.standin.ExpectedAnswer;

/**
 * Guards against chats that are lost, answered wrongly or run when they must not, on the path from
 * an entry's link through the sidecar to the engine and back.
 *
 * <p>The cases are a missing configuration, a lost link, reused keys, engine crashes, a planned
 * stop and invalid frames.
 */
final class SidecarTest {
  private final SidecarFixture fixture =
      new SidecarFixture(EngineSettings.defaults().crashMarker("poison").restartMillis(400));

  @AfterEach
  void close() {
    fixture.close();
  }

  private static String answer(String text, int tokens) {
    return ExpectedAnswer.text("draft-1", List.of(new ChatMessage("user", text)), tokens);
  }

  private static ImmutableList<String> tokens(String text, int count) {
    return ExpectedAnswer.tokens("draft-1", List.of(new ChatMessage("user", text)), count);
  }

  @Test
  void refusesRequestsUntilConfigured() {
    FakeEntry entry = fixture.entry();
    Submit.Builder chat = fixture.chat("a", 4, false);
    entry.submit(chat);
    assertThat(entry.outcome(chat.getRequest(), 1).getRefused().getCode())
        .isEqualTo("NO_CONFIGURATION");
  }

  @Test
  void servesWholeAnswer() {
    FakeEntry entry = fixture.servingEntry();
    Submit.Builder chat = fixture.chat("hello", 20, false);
    entry.submit(chat);
    Frame end = entry.outcome(chat.getRequest(), 1);
    String body = entry.bytes(chat.getRequest(), 1).toStringUtf8();
    assertThat(body).contains(answer("hello", 20));
    assertThat(end.getEnd().getTotalBytes()).isEqualTo(body.length());
    assertThat(end.getEnd().getHttpStatus()).isEqualTo(200);
    assertThat(end.getEnd().getPromptTokens()).isGreaterThan(0);
    assertThat(end.getEnd().getContentType()).startsWith("application/json");
  }

  @Test
  void streamsWithinCreditAndResumesAtPosition() {
    FakeEntry entry = fixture.servingEntry();
    Submit.Builder chat = fixture.chat("stream", 200, true).setCreditBytes(1_000);
    RequestRef ref = chat.getRequest();
    entry.submit(chat);
    entry.await(f -> f.hasChunk() && entry.bytes(ref, 1).size() == 1_000);
    entry.close();

    FakeEntry again = fixture.entry();
    again.query(ref, SidecarFixture.INCARNATION);
    Outcome outcome = again.await(Frame::hasOutcome).getOutcome();
    assertThat(outcome.getState()).isAnyOf(Outcome.State.RUNNING, Outcome.State.FINISHED);
    again.submit(chat.clone().setAttempt(2).setResumePosition(1_000).setCreditBytes(1 << 20));
    Frame end = again.outcome(ref, 2);
    String all = entry.bytes(ref, 1).concat(again.bytes(ref, 2)).toStringUtf8();
    assertThat(end.getEnd().getTotalBytes()).isEqualTo(all.length());
    tokens("stream", 200).forEach(token -> assertThat(all).contains("\"" + token + "\""));
    assertThat(all).endsWith("[DONE]\n\n");
    assertThat(end.getEnd().getPromptTokens()).isGreaterThan(0);
  }

  @Test
  void resumeBeyondEndFailsWithOutOfRange() {
    FakeEntry entry = fixture.servingEntry();
    Submit.Builder chat = fixture.chat("a", 2, false);
    entry.submit(chat);
    long total = entry.outcome(chat.getRequest(), 1).getEnd().getTotalBytes();
    entry.submit(chat.clone().setAttempt(2).setResumePosition(total + 1));
    assertThat(entry.outcome(chat.getRequest(), 2).getFailed().getCode())
        .isEqualTo("RESUME_OUT_OF_RANGE");
    entry.submit(chat.clone().setAttempt(3).setResumePosition(total));
    assertThat(entry.outcome(chat.getRequest(), 3).getEnd().getTotalBytes()).isEqualTo(total);
  }

  @Test
  void repeatedKeyReturnsSameAnswerAndInvalidKeysAreRefused() {
    FakeEntry entry = fixture.servingEntry();
    Submit.Builder first =
        fixture.chat("k", 3, false).setNonIdempotent(true).setIdempotencyKey("key-1");
    Submit.Builder copy =
        fixture.chat("k", 3, false).setNonIdempotent(true).setIdempotencyKey("key-1");
    Submit.Builder other =
        fixture.chat("other", 3, false).setNonIdempotent(true).setIdempotencyKey("key-1");
    Submit.Builder longKey =
        fixture.chat("k", 3, false).setNonIdempotent(true).setIdempotencyKey("k".repeat(256));
    Submit.Builder damaged = fixture.chat("k", 3, false).setIdempotencyKey("tbk1-abc");
    for (Submit.Builder s : List.of(first, copy, other, longKey, damaged)) {
      entry.submit(s);
    }
    entry.outcome(first.getRequest(), 1);
    entry.outcome(copy.getRequest(), 1);
    assertThat(entry.bytes(copy.getRequest(), 1)).isEqualTo(entry.bytes(first.getRequest(), 1));
    assertThat(entry.outcome(other.getRequest(), 1).getRefused().getCode()).isEqualTo("KEY_REUSED");
    assertThat(entry.outcome(longKey.getRequest(), 1).getRefused().getCode())
        .isEqualTo("KEY_TOO_LONG");
    assertThat(entry.outcome(damaged.getRequest(), 1).getRefused().getCode())
        .isEqualTo("KEY_MALFORMED");
  }

  @Test
  void crashFailsRunningRequestAndSecondCrashQuarantinesIt() {
    FakeEntry entry = fixture.servingEntry();
    for (int i = 0; i < 2; i++) {
      Submit.Builder poison = fixture.chat("poison", 3, false);
      entry.submit(poison);
      Frame failed = entry.outcome(poison.getRequest(), 1);
      assertThat(failed.getFailed().getCode()).isEqualTo("ENGINE_CRASHED");
      assertThat(failed.getFailed().getVerdict()).isEqualTo(VerdictCode.MAY_HAVE_RUN);
      fixture.awaitAccepting(entry);
    }
    entry.await(Frame::hasQuarantineNotice);
    Submit.Builder third = fixture.chat("poison", 3, false);
    entry.submit(third);
    assertThat(entry.outcome(third.getRequest(), 1).getRefused().getCode())
        .isEqualTo("QUARANTINED");
  }

  @Test
  void drainFinishesRunningRequestAndRefusesNewOnes() throws Exception {
    FakeEntry entry = fixture.servingEntry();
    Submit.Builder running = fixture.chat("slow", 100, true);
    entry.submit(running);
    entry.accepted(running.getRequest());
    Thread drain =
        new Thread(
            () -> {
              try {
                fixture.sidecar.drain();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    drain.start();
    entry.await(Frame::hasLeaving);
    Submit.Builder late = fixture.chat("late", 1, false);
    entry.submit(late);
    assertThat(entry.outcome(late.getRequest(), 1).getRefused().getCode()).isEqualTo("LEAVING");
    assertThat(entry.outcome(running.getRequest(), 1).hasEnd()).isTrue();
    drain.join();
  }

  @Test
  void invalidFramesLeaveLinkOpen() {
    FakeEntry entry = fixture.servingEntry();
    entry.submit(Submit.newBuilder());
    entry.credit(FakeEntry.ref(999), 1, 5);
    entry.query(RequestRef.getDefaultInstance(), 0);
    entry.send(Frame.newBuilder());
    Submit.Builder noAttempt = fixture.chat("a", 1, false).setAttempt(0);
    entry.submit(noAttempt);
    assertThat(entry.outcome(noAttempt.getRequest(), 0).getRefused().getCode())
        .isEqualTo("BAD_REQUEST");
    Submit.Builder chat = fixture.chat("still up", 1, false);
    entry.submit(chat);
    assertThat(entry.outcome(chat.getRequest(), 1).hasEnd()).isTrue();
  }
}
