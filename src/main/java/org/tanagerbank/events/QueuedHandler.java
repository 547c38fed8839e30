package org.tanagerbank.events;

import com.google.common.base.Strings;
import com.google.common.collect.ImmutableSortedMap;
import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * A log handler that writes lines on its own thread.
 *
 * <p>If the reader of the output is slow or gone, only that thread blocks, never a thread that
 * logs. Lines that do not fit into the queue, by their number or their characters, or exceed the
 * rate limit of their kind are dropped, and the handler logs how many. Thread-safe.
 */
final class QueuedHandler extends Handler {
  /** The maximum number of lines in the queue; a line has about 300 bytes. */
  private static final int QUEUE_LINES = 1_000;

  /** The maximum number of characters in the queue; a line may quote what others wrote. */
  static final int QUEUE_CHARS = 1 << 20;

  /** The limit for each kind of line, well above the requests an instance serves per second. */
  private static final int LINES_PER_SECOND = 300;

  private static final int EVENT_ID_START = "{\"event\":\"".length();
  private static final int EVENT_ID_LENGTH = "TB1000".length();
  private static final long DROP_REPORT_INTERVAL_MILLIS = 1_000;
  private static final long CLOSE_TIMEOUT_MILLIS = 300;

  private final PrintStream out;
  private final LongSupplier nanoClock;
  private final BlockingQueue<LogRecord> queue = new ArrayBlockingQueue<>(QUEUE_LINES);
  private final AtomicInteger queuedChars = new AtomicInteger();
  private final LogRateLimiter rateLimiter;
  private final Thread writer = new Thread(this::writeAll, "log-writer");
  private volatile boolean closed;

  private QueuedHandler(PrintStream out, LongSupplier nanoClock) {
    this.out = out;
    this.nanoClock = nanoClock;
    this.rateLimiter = new LogRateLimiter(LINES_PER_SECOND, nanoClock.getAsLong());
  }

  /** Returns a handler whose writer thread has been started. */
  static QueuedHandler start(PrintStream out, LongSupplier nanoClock) {
    QueuedHandler handler = new QueuedHandler(out, nanoClock);
    handler.writer.setDaemon(true);
    handler.writer.start();
    return handler;
  }

  @Override
  public void publish(LogRecord logRecord) {
    String kind = eventKind(logRecord.getMessage());
    synchronized (rateLimiter) {
      if (rateLimiter.tryAcquire(kind, nanoClock.getAsLong()) && !enqueue(logRecord)) {
        rateLimiter.recordDropped(kind);
      }
    }
  }

  /** Adds a line to the queue, and returns whether it fits. Called by one thread at a time. */
  private boolean enqueue(LogRecord logRecord) {
    int chars = chars(logRecord);
    boolean fits = queuedChars.get() + chars <= QUEUE_CHARS && queue.offer(logRecord);
    if (fits) {
      queuedChars.addAndGet(chars);
    }
    return fits;
  }

  private static int chars(LogRecord logRecord) {
    return Strings.nullToEmpty(logRecord.getMessage()).length();
  }

  /** Returns the event id of a line; all lines that libraries log are of one kind. */
  private static String eventKind(String message) {
    int end = EVENT_ID_START + EVENT_ID_LENGTH;
    return message != null && message.startsWith("{") && message.length() > end
        ? message.substring(EVENT_ID_START, end)
        : "other";
  }

  private void writeAll() {
    try {
      while (!closed || !queue.isEmpty()) {
        LogRecord logRecord = queue.poll(DROP_REPORT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        if (logRecord != null) {
          queuedChars.addAndGet(-chars(logRecord));
          out.print(getFormatter().format(logRecord));
        }
        if (queue.isEmpty()) {
          reportDropped();
          out.flush();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void reportDropped() {
    ImmutableSortedMap<String, Integer> dropped;
    synchronized (rateLimiter) {
      dropped = rateLimiter.drainDropped();
    }
    if (!dropped.isEmpty()) {
      int sum = dropped.values().stream().mapToInt(Integer::intValue).sum();
      String kinds = String.join(" ", dropped.keySet());
      LogRecord logRecord =
          EventLog.record(LogEvent.LOG_LINES_DROPPED, "lines", kinds, "dropped", sum);
      out.print(getFormatter().format(logRecord));
    }
  }

  @Override
  public void flush() {
    // The writer flushes whenever its queue is empty.
  }

  /** Waits up to {@code CLOSE_TIMEOUT_MILLIS} for the writer to write the queued lines and end. */
  @Override
  public void close() {
    closed = true;
    try {
      writer.join(CLOSE_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
