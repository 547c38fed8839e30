import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to the file of a case. Thread-safe. */
final class Record implements AutoCloseable {
  private static final long START_NANOS = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
  }

  /** Returns the milliseconds since the start of the case. */
  static long nowMillis() {
    return (System.nanoTime() - START_NANOS) / 1_000_000;
  }

  synchronized void add(String format, Object... args) {
    out.println(String.format("%7d ", nowMillis()) + String.format(format, args));
  }

  @Override
  public void close() {
    out.close();
  }
}
