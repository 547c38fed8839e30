package org.tanagerbank.answer;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.protobuf.ByteString;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.tanagerbank.request.ErrorCode;

/**
 * Guards against answers with gaps, repetitions or bytes of other attempts, against truncated
 * answers that pass as complete, and against a sender that exceeds its credit or waits for credit
 * forever. Attempts that break off, stale frames and repeated frames cause such answers.
 */
final class AnswerAssemblerProperties {
  private static final int WINDOW_BYTES = 64;

  private static byte[] answer(Random random) {
    byte[] bytes = new byte[random.nextInt(500)];
    random.nextBytes(bytes);
    return bytes;
  }

  /** Sends an answer in attempts that break off at any point, with stale and repeated frames. */
  @Property(tries = 500, seed = "51")
  void answerIsCompleteWhereverAttemptsBreakOff(@ForAll long seed) {
    Random random = new Random(seed);
    byte[] fullAnswer = answer(random);
    AnswerAssembler assembler = new AnswerAssembler(WINDOW_BYTES);
    ByteString received = ByteString.EMPTY;
    long unconsumedBytes = 0;
    int attempt = 0;
    boolean done = false;
    while (!done) {
      attempt++;
      // Simulates a sender that respects its credit and starts at or before the expected byte.
      long credit = assembler.beginAttempt(attempt);
      int position = (int) assembler.position() - random.nextInt((int) assembler.position() + 1);
      int emptyChunks = 0;
      while (!done && random.nextInt(40) > 0) {
        int size =
            (int) Math.min(Math.min(credit, fullAnswer.length - position), random.nextInt(30));
        ByteString chunk = ByteString.copyFrom(fullAnswer, position, Math.max(size, 0));
        assertThat(assembler.onChunk(attempt + random.nextInt(3) + 1, position, chunk))
            .isInstanceOf(AnswerDecision.Ignore.class);
        AnswerDecision decision = assembler.onChunk(attempt, position, chunk);
        position += chunk.size();
        credit -= chunk.size();
        if (decision instanceof AnswerDecision.Deliver deliver) {
          received = received.concat(deliver.data());
          unconsumedBytes += deliver.data().size();
        }
        assertThat(decision).isNotInstanceOf(AnswerDecision.Failed.class);
        assertThat(assembler.unconsumedBytes()).isAtMost((long) WINDOW_BYTES);
        if (random.nextBoolean()) {
          assembler.consume(unconsumedBytes);
          unconsumedBytes = 0;
        }
        credit += assembler.takeGrant();
        emptyChunks = chunk.isEmpty() ? emptyChunks + 1 : 0;
        assertWithMessage("sender without credit").that(emptyChunks).isLessThan(60);
        if (position == fullAnswer.length && random.nextBoolean()) {
          done = assembler.onEnd(attempt, position) instanceof AnswerDecision.Complete;
          assertThat(done).isTrue();
        }
      }
    }
    assertThat(received.toByteArray()).isEqualTo(fullAnswer);
  }

  @Property(tries = 300, seed = "52")
  void gapCreditOverrunAndWrongLengthAreErrors(@ForAll long seed) {
    Random random = new Random(seed);
    int first = random.nextInt(WINDOW_BYTES);
    AnswerAssembler gap = assemblerWithReceived(first);
    assertBroken(
        gap.onChunk(1, first + 1 + random.nextInt(9), bytes(1)), ErrorCode.FRAME_OUT_OF_ORDER);
    assertThat(gap.onChunk(1, first, bytes(1))).isInstanceOf(AnswerDecision.Ignore.class);
    AnswerAssembler overrun = assemblerWithReceived(first);
    assertBroken(
        overrun.onChunk(1, first, bytes(WINDOW_BYTES - first + 1)), ErrorCode.FRAME_OUT_OF_ORDER);
    AnswerAssembler shortEnd = assemblerWithReceived(first);
    int distance = 1 + random.nextInt(9);
    long wrong = random.nextBoolean() ? first + (long) distance : first - (long) distance;
    assertBroken(shortEnd.onEnd(1, wrong), ErrorCode.INCOMPLETE);
    assertThat(shortEnd.onEnd(1, first)).isInstanceOf(AnswerDecision.Ignore.class);
  }

  @Example
  void restartBeginsWithTheFirstByte() {
    AnswerAssembler assembler = assemblerWithReceived(10);
    assembler.restart();
    assertThat(assembler.beginAttempt(2)).isEqualTo(WINDOW_BYTES);
    assertThat(assembler.position()).isEqualTo(0);
    assertThat(assembler.onChunk(1, 0, bytes(1))).isInstanceOf(AnswerDecision.Ignore.class);
    assertThat(assembler.onChunk(2, 0, bytes(1))).isInstanceOf(AnswerDecision.Deliver.class);
  }

  private static AnswerAssembler assemblerWithReceived(int received) {
    AnswerAssembler assembler = new AnswerAssembler(WINDOW_BYTES);
    assembler.beginAttempt(1);
    assembler.onChunk(1, 0, bytes(received));
    return assembler;
  }

  private static ByteString bytes(int count) {
    return ByteString.copyFrom(new byte[count]);
  }

  private static void assertBroken(AnswerDecision decision, ErrorCode code) {
    assertThat(decision).isInstanceOf(AnswerDecision.Failed.class);
    assertThat(((AnswerDecision.Failed) decision).code()).isEqualTo(code);
  }
}
