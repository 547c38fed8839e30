package review3;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt: one line for each thing that was sent, answered or run. Thread-safe. */
final class Record implements AutoCloseable {
  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(file));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the milliseconds since the start of the script. */
  long nowMillis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void line(String format, Object... args) {
    out.printf(Locale.ROOT, "%8d ms  %s%n", nowMillis(), String.format(Locale.ROOT, format, args));
    out.flush();
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
