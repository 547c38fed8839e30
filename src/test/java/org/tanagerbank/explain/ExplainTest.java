package org.tanagerbank.explain;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.tanagerbank.logfile.LogReader;

/** Guards against timelines that mix requests, or that hide that events are missing. */
final class ExplainTest {
  @TempDir Path directory;
  private Path log;

  private static String line(String second, String name, String more) {
    return "{\"time\":\"2026-12-04T00:00:"
        + second
        + "Z\",\"level\":\"INFO\",\"event\":\"TB1803\",\"name\":\""
        + name
        + "\""
        + (more.isEmpty() ? "" : "," + more)
        + "}";
  }

  @BeforeEach
  void write() throws IOException {
    log = directory.resolve("gw-1.log");
    Files.write(
        log,
        ImmutableList.of(
            line("01.000", "PROCESS_STARTED", ""),
            line("09.000", "STORE_LOST", "\"topic\":\"upstreams\""),
            line("09.500", "UPSTREAM_GONE", "\"upstream\":\"i-1\""),
            line("09.600", "UPSTREAM_GONE", "\"upstream\":\"i-9\""),
            line("10.000", "REQUEST_PLACED", "\"request\":\"r1\",\"upstream\":\"i-1\""),
            line("10.100", "REQUEST_PLACED", "\"request\":\"r2\",\"upstream\":\"i-1\""),
            line(
                "10.200",
                "REQUEST_ATTEMPT_FAILED",
                "\"request\":\"r1\",\"upstream\":\"i-1\",\"reason\":\"RESET\""),
            line(
                "10.300",
                "REQUEST_ENDED",
                "\"request\":\"r1\",\"status\":502,\"reason\":\"RESET\",\"sent\":1,\"millis\":300"),
            line("11.000", "STORE_REGAINED", "\"topic\":\"upstreams\"")));
  }

  private RequestTimeline timeline(String id) throws IOException {
    return RequestTimeline.of(id, LogReader.read(log).lines()).orElseThrow();
  }

  @Test
  void timelineHasRequestEventsAndChangesThatMayAffectIt() throws IOException {
    ImmutableList<String> text = timeline("r1").format();
    assertThat(text).hasSize(6);
    assertThat(text.get(0)).contains("-1.000 s  gw-1.log  STORE_LOST");
    assertThat(text.get(1)).contains("UPSTREAM_GONE  upstream=i-1");
    assertThat(text.get(2)).startsWith("*");
    assertThat(text.get(5))
        .isEqualTo("ended with status 502 after 300 ms: RESET, after 1 attempts that failed");
  }

  @Test
  void missingEndIsReported() throws IOException {
    assertThat(timeline("r2").outcome()).startsWith("incomplete: no end of the request");
  }

  @Test
  void droppedLinesAreReported() throws IOException {
    Files.writeString(
        log,
        line("10.150", "LOG_LINES_DROPPED", "\"count\":7") + "\n",
        java.nio.file.StandardOpenOption.APPEND);
    assertThat(timeline("r1").format())
        .contains("incomplete: a process dropped log lines in this time");
  }

  @Test
  void processesInAMergedLogAreDistinguished() throws IOException {
    Files.write(
        log,
        ImmutableList.of(
            "  1.5 edge-1 " + line("10.000", "REQUEST_PLACED", "\"request\":\"r1\""),
            "  1.6 edge-2 " + line("10.100", "STORE_LOST", ""),
            "  1.7 edge-1 " + line("10.200", "STORE_LOST", ""),
            "  1.8 edge-1 "
                + line(
                    "10.300",
                    "REQUEST_REJECTED",
                    "\"request\":\"r1\",\"status\":503," + "\"reason\":\"no upstream\"")));
    ImmutableList<String> text = timeline("r1").format();
    assertThat(text).hasSize(4);
    assertThat(String.join("\n", text)).doesNotContain("edge-2");
    assertThat(text.get(3)).isEqualTo("rejected with status 503: no upstream");
  }

  @Test
  void truncatedLinesAreCountedAndOtherLinesAreRead() throws IOException {
    Files.writeString(
        log, "{\"time\":\"2026-12-04T00:00:11", java.nio.file.StandardOpenOption.APPEND);
    LogReader.Content content = LogReader.read(log);
    assertThat(content.malformedLines()).isEqualTo(1);
    assertThat(content.lines()).hasSize(9);
  }

  @Test
  void binaryContentContainsNoEvents() throws IOException {
    Files.write(log, new byte[] {(byte) 0xff, 0, 10, '{', '"', (byte) 0xfe, 10, '[', ']', 10});
    LogReader.Content content = LogReader.read(log);
    assertThat(content.lines()).isEmpty();
    assertThat(content.malformedLines()).isEqualTo(1);
  }
}
