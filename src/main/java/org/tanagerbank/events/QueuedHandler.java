package org.tanagerbank.events;

import com.google.common.collect.ImmutableSortedMap;
import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes log lines on a thread of its own, so that a reader that is slow or gone never blocks the
 * threads that log. Thread-safe.
 */
final class QueuedHandler extends Handler {
  /** Lines that wait for the writer; about 300 bytes each. */
  private static final int QUEUE_LINES = 1_000;

  /** Well above the requests that one instance serves in a second. */
  private static final int LINES_PER_SECOND = 300;

  private static final int EVENT_ID_START = "{\"event\":\"".length();
  private static final int EVENT_ID_LENGTH = "TB1000".length();
  private static final long SAY_DROPPED_MILLIS = 1_000;
  private static final long CLOSE_MILLIS = 300;

  private final PrintStream out;
  private final LongSupplier nanoClock;
  private final BlockingQueue<LogRecord> queue = new ArrayBlockingQueue<>(QUEUE_LINES);
  private final LineBudget budget;
  private final Thread writer = new Thread(this::writeAll, "log-writer");
  private volatile boolean closed;

  private QueuedHandler(PrintStream out, LongSupplier nanoClock) {
    this.out = out;
    this.nanoClock = nanoClock;
    this.budget = new LineBudget(LINES_PER_SECOND, nanoClock.getAsLong());
  }

  /** Returns a handler whose writer runs. */
  static QueuedHandler start(PrintStream out, LongSupplier nanoClock) {
    QueuedHandler handler = new QueuedHandler(out, nanoClock);
    handler.writer.setDaemon(true);
    handler.writer.start();
    return handler;
  }

  @Override
  public void publish(LogRecord line) {
    String kind = kind(line.getMessage());
    synchronized (budget) {
      if (budget.allows(kind, nanoClock.getAsLong()) && !queue.offer(line)) {
        budget.drop(kind);
      }
    }
  }

  /** Returns the number of the event of a line; lines of libraries share one kind. */
  private static String kind(String message) {
    int end = EVENT_ID_START + EVENT_ID_LENGTH;
    return message != null && message.startsWith("{") && message.length() > end
        ? message.substring(EVENT_ID_START, end)
        : "other";
  }

  private void writeAll() {
    try {
      while (!closed || !queue.isEmpty()) {
        LogRecord line = queue.poll(SAY_DROPPED_MILLIS, TimeUnit.MILLISECONDS);
        if (line != null) {
          out.print(getFormatter().format(line));
        }
        if (queue.isEmpty()) {
          sayDropped();
          out.flush();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void sayDropped() {
    ImmutableSortedMap<String, Integer> dropped;
    synchronized (budget) {
      dropped = budget.takeDropped();
    }
    if (!dropped.isEmpty()) {
      int sum = dropped.values().stream().mapToInt(Integer::intValue).sum();
      String kinds = String.join(" ", dropped.keySet());
      LogRecord line = EventLog.record(LogEvent.LOG_LINES_DROPPED, "lines", kinds, "dropped", sum);
      out.print(getFormatter().format(line));
    }
  }

  @Override
  public void flush() {
    // The writer flushes whenever its queue is empty.
  }

  /** Waits a moment for the lines that are queued. */
  @Override
  public void close() {
    closed = true;
    try {
      writer.join(CLOSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
