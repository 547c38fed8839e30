package org.tanagerbank.events;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
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
