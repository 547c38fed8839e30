package org.tanagerbank.platform;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Guards against names of the platform's headers, topics, paths and settings outside this package.
 * Only this package may depend on them, so that another platform needs no change elsewhere.
 */
final class PlatformNamesTest {
  private static final Path MAIN = Path.of("src/main/java/org/tanagerbank");

  private static final ImmutableList<String> NAMES =
      ImmutableList.of(
          "Server-Stamp",
          "Not-Executed",
          "Expect-Instance",
          "Prompt-Prefix",
          "Token-Counts",
          "Deadline-Ms",
          "Request-Priority",
          "Server-Load",
          "Kv-From",
          "keyed.op",
          "keyed.servers",
          "/-/log-",
          "kv-capacity",
          "slo-ms",
          "path-prefix",
          "cap-x",
          "cold-per-s",
          "cold-left-ms",
          "Cold-Ms");

  @Test
  void namesOfThePlatformOccurOnlyInItsPackage() throws IOException {
    try (Stream<Path> files = Files.walk(MAIN)) {
      ImmutableList<String> found =
          files
              .filter(f -> f.toString().endsWith(".java"))
              .filter(f -> !f.startsWith(MAIN.resolve("platform")))
              .flatMap(PlatformNamesTest::namesIn)
              .collect(toImmutableList());
      assertThat(found).isEmpty();
    }
  }

  private static Stream<String> namesIn(Path file) {
    try {
      String text = Files.readString(file);
      return NAMES.stream().filter(text::contains).map(name -> file + ": " + name);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
