package org.tanagerbank.answer;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.protobuf.ByteString;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.tanagerbank.contract.ErrorCode;

/**
 * Guards against answers with gaps, repetitions or bytes of other attempts, against short answers
 * that pass as whole, and against a sender that overruns the buffer or waits for credit forever.
 */
final class AnswerAssemblerProperties {
  private static final int WINDOW = 64;

  private static byte[] answer(Random random) {
    byte[] bytes = new byte[random.nextInt(500)];
    random.nextBytes(bytes);
    return bytes;
  }

  /** Sends an answer over attempts that break off anywhere, with stale and repeated frames. */
  @Property(tries = 500, seed = "51")
  void answerIsWholeWhateverBreaksOff(@ForAll long seed) {
    Random random = new Random(seed);
    byte[] whole = answer(random);
    AnswerAssembler assembler = new AnswerAssembler(WINDOW);
    ByteString received = ByteString.EMPTY;
    long waiting = 0;
    int attempt = 0;
    boolean done = false;
    while (!done) {
      attempt++;
      // The naive sender: knows the credit it was given and sends from a position on.
      long credit = assembler.begin(attempt);
      int at = (int) assembler.position() - random.nextInt((int) assembler.position() + 1);
      int idle = 0;
      while (!done && random.nextInt(40) > 0) {
        int size = (int) Math.min(Math.min(credit, whole.length - at), random.nextInt(30));
        ByteString piece = ByteString.copyFrom(whole, at, Math.max(size, 0));
        assertThat(assembler.chunk(attempt + random.nextInt(3) + 1, at, piece))
            .isInstanceOf(AnswerDecision.Ignore.class);
        AnswerDecision decision = assembler.chunk(attempt, at, piece);
        at += piece.size();
        credit -= piece.size();
        if (decision instanceof AnswerDecision.Deliver deliver) {
          received = received.concat(deliver.data());
          waiting += deliver.data().size();
        }
        assertThat(decision).isNotInstanceOf(AnswerDecision.Broken.class);
        assertThat(assembler.waitingBytes()).isAtMost((long) WINDOW);
        if (random.nextBoolean()) {
          assembler.taken(waiting);
          waiting = 0;
        }
        credit += assembler.grant();
        idle = piece.isEmpty() ? idle + 1 : 0;
        assertWithMessage("sender without credit").that(idle).isLessThan(60);
        if (at == whole.length && random.nextBoolean()) {
          done = assembler.end(attempt, at) instanceof AnswerDecision.Complete;
          assertThat(done).isTrue();
        }
      }
    }
    assertThat(received.toByteArray()).isEqualTo(whole);
  }

  @Property(tries = 300, seed = "52")
  void gapOverrunAndShortEndAreErrors(@ForAll long seed) {
    Random random = new Random(seed);
    int first = random.nextInt(WINDOW);
    AnswerAssembler gap = begun(first);
    assertBroken(
        gap.chunk(1, first + 1 + random.nextInt(9), bytes(1)), ErrorCode.FRAME_OUT_OF_ORDER);
    assertThat(gap.chunk(1, first, bytes(1))).isInstanceOf(AnswerDecision.Ignore.class);
    AnswerAssembler overrun = begun(first);
    assertBroken(overrun.chunk(1, first, bytes(WINDOW - first + 1)), ErrorCode.FRAME_OUT_OF_ORDER);
    AnswerAssembler shortEnd = begun(first);
    int distance = 1 + random.nextInt(9);
    long wrong = random.nextBoolean() ? first + (long) distance : first - (long) distance;
    assertBroken(shortEnd.end(1, wrong), ErrorCode.INCOMPLETE);
    assertThat(shortEnd.end(1, first)).isInstanceOf(AnswerDecision.Ignore.class);
  }

  @Example
  void restartBeginsWithTheFirstByte() {
    AnswerAssembler assembler = begun(10);
    assembler.restart();
    assertThat(assembler.begin(2)).isEqualTo(WINDOW);
    assertThat(assembler.position()).isEqualTo(0);
    assertThat(assembler.chunk(1, 0, bytes(1))).isInstanceOf(AnswerDecision.Ignore.class);
    assertThat(assembler.chunk(2, 0, bytes(1))).isInstanceOf(AnswerDecision.Deliver.class);
  }

  private static AnswerAssembler begun(int received) {
    AnswerAssembler assembler = new AnswerAssembler(WINDOW);
    assembler.begin(1);
    assembler.chunk(1, 0, bytes(received));
    return assembler;
  }

  private static ByteString bytes(int count) {
    return ByteString.copyFrom(new byte[count]);
  }

  private static void assertBroken(AnswerDecision decision, ErrorCode code) {
    assertThat(decision).isInstanceOf(AnswerDecision.Broken.class);
    assertThat(((AnswerDecision.Broken) decision).code()).isEqualTo(code);
  }
}
