package org.tanagerbank.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/** Selects the seeds that a soak plays. Stateless and thread-safe. */
final class SoakSeeds {
  private SoakSeeds() {}

  /**
   * Returns the seeds of the range in {@code -Dsoak.seeds}, such as 1-50, or else those of a
   * resource file, whose lines each begin with a seed.
   */
  static LongStream read(String file) throws IOException {
    String range = System.getProperty("soak.seeds", "");
    if (!range.isEmpty()) {
      String[] ends = range.split("-");
      return LongStream.rangeClosed(Long.parseLong(ends[0]), Long.parseLong(ends[ends.length - 1]));
    }
    try (Stream<String> lines = Files.lines(Path.of("src/test/resources", file))) {
      return lines
          .filter(l -> !l.startsWith("#"))
          .mapToLong(l -> Long.parseLong(l.split(" ")[0]))
          .boxed()
          .toList()
          .stream()
          .mapToLong(Long::longValue);
    }
  }
}
