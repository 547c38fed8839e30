package org.tanagerbank.events;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.util.concurrent.Uninterruptibles;
import java.io.ByteArrayOutputStream;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.logging.SimpleFormatter;
import org.junit.jupiter.api.Test;

/**
 * Guards against logging that blocks the threads that serve requests when nothing reads the output,
 * and against log lines that are dropped without a report.
 */
final class QueuedHandlerTest {
  /** An output whose reader never reads: every write blocks until the test is over. */
  private static final class BlockedOutput extends OutputStream {
    private final CountDownLatch testEnded = new CountDownLatch(1);

    @Override
    public void write(int b) {
      try {
        testEnded.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private static QueuedHandler handler(OutputStream out, long[] now) {
    QueuedHandler handler =
        QueuedHandler.start(new PrintStream(out, false, StandardCharsets.UTF_8), () -> now[0]);
    handler.setFormatter(new SimpleFormatter());
    return handler;
  }

  @Test
  void loggingDoesNotBlockWhenTheOutputIsNotRead() {
    BlockedOutput out = new BlockedOutput();
    long[] now = {0};
    QueuedHandler handler = handler(out, now);
    for (int i = 0; i < 100_000; i++) {
      now[0] += 10_000_000;
      handler.publish(EventLog.record(LogEvent.REQUEST_ENDED, "request", "r" + i));
    }
    out.testEnded.countDown();
  }

  /** Lines quote what others wrote, such as a value of a configuration of 256 KiB. */
  @Test
  void longLinesAreBoundedByTheirCharacters() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    CountDownLatch isFilled = new CountDownLatch(1);
    long[] now = {0};
    QueuedHandler handler = handler(blockedUntil(isFilled, out), now);
    String value = "x".repeat(QueuedHandler.QUEUE_CHARS / 8);
    for (int i = 0; i < 100; i++) {
      now[0] += 10_000_000;
      handler.publish(
          EventLog.record(LogEvent.SERVICE_COLD_LIMIT_INVALID, "service", "s" + i, "value", value));
    }
    handler.publish(EventLog.record(LogEvent.PROCESS_STOPPED, "instance", "g"));
    isFilled.countDown();
    while (!out.toString(StandardCharsets.UTF_8).contains("PROCESS_STOPPED")) {
      Thread.yield();
    }
    // One line may be with the writer, beside those in the queue.
    assertThat(out.toString(StandardCharsets.UTF_8).split("\"SERVICE_COLD_LIMIT_INVALID\"").length)
        .isAtMost(1 + 1 + 7);
  }

  private static OutputStream blockedUntil(CountDownLatch latch, OutputStream out) {
    return new FilterOutputStream(out) {
      @Override
      public void write(byte[] bytes, int start, int length) throws IOException {
        Uninterruptibles.awaitUninterruptibly(latch);
        out.write(bytes, start, length);
      }
    };
  }

  @Test
  void linesOverTheRateLimitAreDroppedAndReported() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    QueuedHandler handler = handler(out, new long[] {0});
    for (int i = 0; i < 1_000; i++) {
      handler.publish(EventLog.record(LogEvent.REQUEST_ENDED, "request", "r" + i));
    }
    handler.close();
    String text = out.toString(StandardCharsets.UTF_8);
    assertThat(text).contains("TB1816");
    assertThat(text).contains("TB1806");
    assertThat(text).doesNotContain("r999");
  }

  @Test
  void rateLimitAppliesToEachKindSeparately() {
    LogRateLimiter limiter = new LogRateLimiter(1, 0);
    assertThat(limiter.tryAcquire("a", 0)).isTrue();
    assertThat(limiter.tryAcquire("a", 1)).isFalse();
    assertThat(limiter.tryAcquire("b", 1)).isTrue();
    assertThat(limiter.tryAcquire("a", 1_000_000_000L)).isTrue();
    assertThat(limiter.drainDropped()).containsExactly("a", 1);
    assertThat(limiter.drainDropped()).isEmpty();
  }
}
