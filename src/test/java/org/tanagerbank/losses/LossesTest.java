package org.tanagerbank.losses;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** Guards against an account that hides losses, counts them twice or blames the wrong cause. */
final class LossesTest {
  private static final String LOG = "gateway.log";

  @TempDir Path directory;
  private final List<String> lines = new ArrayList<>();

  private void add(String second, String name, String fields) {
    lines.add(
        "{\"time\":\"2026-12-04T00:00:"
            + second
            + "Z\",\"level\":\"INFO\",\"event\":\"TB1\",\"name\":\""
            + name
            + "\","
            + fields
            + "}");
  }

  private void place(String second, String request, int freshTokens) {
    add(
        second,
        "REQUEST_PLACED",
        "\"request\":\"" + request + "\",\"route\":\"r\",\"freshTokens\":" + freshTokens);
  }

  private void end(String second, String request, int status, String reason, int firstMillis) {
    add(
        second,
        "REQUEST_ENDED",
        "\"request\":\""
            + request
            + "\",\"route\":\"r\",\"status\":"
            + status
            + ",\"reason\":\""
            + reason
            + "\",\"millis\":1000,\"firstMillis\":"
            + firstMillis
            + ",\"objectiveMillis\":500");
  }

  private JsonNode run(String... flags) throws IOException, CmdLineException {
    Path log = directory.resolve(LOG);
    Files.write(log, lines);
    List<String> arguments = new ArrayList<>(List.of(flags));
    arguments.add("--json");
    arguments.add(log.toString());
    LossesCommand command = new LossesCommand();
    new CmdLineParser(command).parseArgument(arguments);
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    PrintStream stream = new PrintStream(out, true, UTF_8);
    assertThat(command.run(stream, stream)).isEqualTo(0);
    return new ObjectMapper().readTree(out.toString(UTF_8));
  }

  private static long outcome(JsonNode report, String label) {
    return report.path("totals").path("outcomes").path(label).asLong(-1);
  }

  private static long cause(JsonNode report, String label) {
    return report.path("totals").path("causes").path(label).asLong(0);
  }

  @ParameterizedTest
  @CsvSource({
    "200, answered, 499, in time, ''",
    "200, answered, 501, late, slow upstream",
    "502, CUT_OFF, -1, failed, upstream lost",
    "500, error, -1, failed, error of the upstream",
    "504, timeout, -1, failed, time limit",
    "0, timeout, 100, failed, response broken off",
    "0, caller gone, -1, given up, slow upstream",
    "503, no room, -1, refused, refused at once",
  })
  void endDecidesTheOutcomeAndTheCause(
      int status, String reason, int firstMillis, String outcome, String cause) throws Exception {
    place("10.000", "a", 10);
    end("11.000", "a", status, reason, firstMillis);
    JsonNode report = run();
    assertThat(report.path("totals").path("requests").asLong()).isEqualTo(1);
    assertThat(outcome(report, outcome)).isEqualTo(1);
    assertThat(report.path("totals").path("lost").asLong()).isEqualTo(cause.isEmpty() ? 0 : 1);
    assertThat(cause(report, cause)).isEqualTo(cause.isEmpty() ? 0 : 1);
  }

  @Test
  void lateResponseIsBlamedOnWhatCameFirst() throws Exception {
    place("10.000", "cold", 5_000);
    end("11.000", "cold", 200, "answered", 900);
    place("10.500", "waited", 5_000);
    end("11.000", "waited", 200, "answered", 900);
    place("10.000", "again", 10);
    add("10.300", "REQUEST_ATTEMPT_FAILED", "\"request\":\"again\"");
    place("10.301", "again", 10);
    end("11.000", "again", 200, "answered", 900);
    JsonNode report = run();
    assertThat(cause(report, "prompt not cached")).isEqualTo(1);
    assertThat(cause(report, "wait before placement")).isEqualTo(1);
    assertThat(cause(report, "attempt failed before")).isEqualTo(1);
  }

  @Test
  void requestsOfAKilledGatewayAreLostAndThoseAfterItsStartAreBlamedOnTheStart() throws Exception {
    place("10.000", "open", 10);
    add("20.000", "PROCESS_STARTED", "\"instance\":\"g\"");
    place("21.000", "first", 10);
    end("21.500", "first", 200, "answered", 900);
    place("22.900", "unfinished", 10);
    JsonNode report = run();
    assertThat(cause(report, "gateway lost")).isEqualTo(1);
    assertThat(cause(report, "start of the gateway")).isEqualTo(1);
    assertThat(report.path("unfinished").asLong()).isEqualTo(1);
  }

  @Test
  void rejectionIsCountedOnceAndUnknownKeysAreNotLosses() throws Exception {
    place("10.000", "a", 10);
    end("11.000", "a", 503, "no room", -1);
    add("11.000", "REQUEST_REJECTED", "\"request\":\"a\",\"status\":503");
    add("11.100", "REQUEST_REJECTED", "\"request\":\"b\",\"status\":503");
    add("11.200", "REQUEST_REJECTED", "\"request\":\"c\",\"status\":401");
    JsonNode report = run();
    assertThat(outcome(report, "refused")).isEqualTo(2);
    assertThat(report.path("notOwed").asLong()).isEqualTo(1);
  }

  @Test
  void linesThatCannotBeReadAreCountedAndNamed() throws Exception {
    place("10.000", "a", 10);
    lines.add("{\"time\":\"2026-12-04T00:00:10.5");
    end("11.000", "a", 200, "answered", 10);
    JsonNode report = run();
    String problem = report.path("problems").path(0).asText();
    assertThat(problem).contains(LOG + ": 1 incomplete or invalid lines");
    assertThat(problem).contains("in lines [2]");
    assertThat(outcome(report, "in time")).isEqualTo(1);
  }

  @Test
  void pageNeedsNothingElseAndQuotesNamesOfRoutes() throws Exception {
    place("10.000", "a", 10);
    add(
        "11.000",
        "REQUEST_ENDED",
        "\"request\":\"a\",\"route\":\"<script>\",\"status\":502,\"reason\":\"x\",\"millis\":5");
    Path page = directory.resolve("page.html");
    run("--html", page.toString());
    String html = Files.readString(page);
    assertThat(html).contains("&lt;script&gt;");
    assertThat(html).doesNotContain("<script");
    assertThat(html).doesNotContain("http");
    assertThat(html).contains("1 upstream lost</title></rect>");
  }
}
