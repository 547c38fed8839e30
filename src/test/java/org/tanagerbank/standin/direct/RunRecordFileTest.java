package org.tanagerbank.standin.direct;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against lines that are lost or overwritten when several engines share a record. */
final class RunRecordFileTest {
  @Test
  void linesOfTwoWritersAreAppendedInOrder(@TempDir Path dir) throws IOException {
    Path path = dir.resolve("record.jsonl");
    try (RunRecordFile a = RunRecordFile.open(path);
        RunRecordFile b = RunRecordFile.open(path)) {
      for (RunRecordFile writer : ImmutableList.of(a, b, a)) {
        writer.accept(
            new RunRecord(
                7,
                "i-1",
                RunEvent.BEGAN,
                "r1",
                null,
                null,
                "/a",
                null,
                null,
                null,
                null,
                null,
                null));
      }
    }
    String line =
        "{\"atMicros\":7,\"engine\":\"i-1\",\"event\":\"BEGAN\","
            + "\"request\":\"r1\",\"path\":\"/a\"}";
    assertThat(Files.readAllLines(path)).containsExactly(line, line, line);
  }
}
