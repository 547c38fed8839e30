package org.tanagerbank.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.net.InetSocketAddress;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagerbank.http.AsyncHttpClient;
import org.tanagerbank.load.LoadDriver;
import org.tanagerbank.load.LoadPlan;
import org.tanagerbank.load.LoadResult;

/**
 * Checks the path from entries over sidecars to upstreams, with each instance as a separate process
 * of the built binary.
 *
 * <p>Guards against answers that are wrong, duplicated or truncated after a sidecar and an entry
 * were killed, against requests that a planned stop cuts off, and against a request with an issued
 * key that runs twice when it is sent through two entries.
 */
final class FleetIT {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String MODEL = "draft";
  private static final int ENGINES = 3;
  private static final String DECLARATION =
      """
      services:
        pool:
          kind: engine
          models: [draft]
          deterministic: true
          slowStartSeconds: 1
        register:
          kind: plain
          dependsOn: [pool]
          nonIdempotentPaths: [/entries]
      """;

  private final ProcessFleet fleet = new ProcessFleet();
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
  private final AsyncHttpClient client = AsyncHttpClient.create(2_000);
  private final List<String> entryAddresses = new ArrayList<>();
  private final List<String> sidecarAddresses = new ArrayList<>();
  private String logAddress;
  private String instancesAddress;
  private String plainUpstreamAddress;

  @BeforeEach
  void startFleet() throws Exception {
    client.start();
    logAddress = fleet.start("log", "standin", "log").path("address").asText();
    instancesAddress =
        fleet
            .start("instances", "standin", "instances", "--probe-millis", "200")
            .path("address")
            .asText();
    for (int i = 0; i < ENGINES; i++) {
      String engine = fleet.start("engine-" + i, "standin", "engine").path("address").asText();
      startSidecar("pool-" + i, "pool", "zone-" + i, engine);
    }
    plainUpstreamAddress = fleet.start("plain", "standin", "plain").path("address").asText();
    startSidecar("register-0", "register", "zone-0", plainUpstreamAddress);
    startEntry("entry-0", "zone-0");
    startEntry("entry-1", "zone-1");
    Path file = Files.writeString(Path.of("target/process-logs/declaration.yaml"), DECLARATION);
    int status =
        fleet.run(
            "publish",
            "config",
            "publish",
            "--file",
            file.toString(),
            "--base",
            "0",
            "--log",
            logAddress,
            "--operator",
            "test");
    assertThat(status).isEqualTo(0);
    for (String sidecar : sidecarAddresses) {
      ProcessFleet.await(
          sidecar + " is ready",
          () -> ProcessFleet.sendHttp("GET", sidecar, "/health/ready", "").statusCode() == 200);
    }
    for (String entry : entryAddresses) {
      ProcessFleet.await(
          entry + " lists all upstreams", () -> liveUpstreamCount(entry) == ENGINES + 1);
    }
  }

  @AfterEach
  void stopFleet() {
    fleet.close();
    client.stop();
    timer.shutdownNow();
  }

  @Test
  void everyRequestEndsInAnswerOrErrorAfterSidecarAndEntryAreKilled() throws Exception {
    LoadDriver driver = newLoadDriver(entryAddresses, 60, 6, 24);
    CompletableFuture<LoadResult> run = CompletableFuture.supplyAsync(() -> runLoad(driver), timer);
    ProcessFleet.await("a third of the requests ended", () -> driver.endedRequests() > 120);
    fleet.kill("pool-1");
    fleet.kill("entry-1");
    LoadResult result = run.get();
    assertThat(result.wrongAnswers()).isEqualTo(0);
    assertWithMessage("%s", result.failures())
        .that(ImmutableSet.of("CONNECTION_FAILED"))
        .containsAtLeastElementsIn(result.failures().keySet());
    assertThat(result.wholeAnswers() + failureCount(result)).isEqualTo(result.requests());

    LoadResult after = runLoad(newLoadDriver(entryAddresses.subList(0, 1), 30, 2, 12));
    assertThat(after.wholeAnswers()).isEqualTo(60);
    assertThat(after.wrongAnswers()).isEqualTo(0);
  }

  @Test
  void plannedStopOfSidecarAndEntryCompletesAllRequests() throws Exception {
    LoadDriver driver = newLoadDriver(entryAddresses.subList(0, 1), 60, 6, 24);
    CompletableFuture<LoadResult> run = CompletableFuture.supplyAsync(() -> runLoad(driver), timer);
    ProcessFleet.await("a third of the requests ended", () -> driver.endedRequests() > 120);
    fleet.stop("pool-1");
    LoadResult result = run.get();
    assertThat(result.failures()).isEmpty();
    assertThat(result.wrongAnswers()).isEqualTo(0);
    assertThat(result.wholeAnswers()).isEqualTo(360);

    CompletableFuture<HttpResponse<String>> last =
        CompletableFuture.supplyAsync(
            () ->
                ProcessFleet.sendHttp(
                    "POST", entryAddresses.get(0), "/v1/chat/completions", longChatRequest()));
    ProcessFleet.await("the request is in flight", () -> inFlightCount(entryAddresses.get(0)) == 1);
    fleet.stop("entry-0");
    assertThat(last.get().statusCode()).isEqualTo(200);
    JsonNode answer = MAPPER.readTree(last.get().body());
    assertThat(answer.path("usage").path("completion_tokens").asInt()).isEqualTo(400);
  }

  @Test
  void issuedKeyRunsOnceAcrossTwoEntries() throws Exception {
    HttpResponse<String> issued =
        ProcessFleet.sendHttp(
            "POST", entryAddresses.get(0), "/v1/request-keys", "{\"service\":\"register\"}");
    assertThat(issued.statusCode()).isEqualTo(200);
    String key = MAPPER.readTree(issued.body()).path("key").asText();
    List<String> bodies = new ArrayList<>();
    for (String entry : entryAddresses) {
      HttpResponse<String> answer =
          ProcessFleet.sendHttp(
              "POST",
              entry,
              "/services/register/entries",
              "{\"finding\":\"roof\"}",
              "Idempotency-Key",
              key,
              "Content-Type",
              "application/json");
      assertWithMessage("%s", answer.body()).that(answer.statusCode()).isEqualTo(200);
      bodies.add(answer.body());
    }
    assertThat(bodies.get(1)).isEqualTo(bodies.get(0));
    JsonNode executions =
        MAPPER.readTree(
            ProcessFleet.sendHttp("GET", plainUpstreamAddress, "/admin/executions", "").body());
    assertThat(executions.path("total").asInt()).isEqualTo(1);

    HttpResponse<String> reused =
        ProcessFleet.sendHttp(
            "POST",
            entryAddresses.get(1),
            "/services/register/entries",
            "{\"finding\":\"wall\"}",
            "Idempotency-Key",
            key);
    assertThat(reused.statusCode()).isEqualTo(422);
    assertThat(reused.body()).contains("KEY_REUSED");
  }

  private void startSidecar(String id, String service, String zone, String upstream) {
    JsonNode ready =
        fleet.start(
            id,
            "sidecar",
            "--id",
            id,
            "--service",
            service,
            "--zone",
            zone,
            "--region",
            "region",
            "--upstream",
            upstream,
            "--log",
            logAddress,
            "--instances",
            instancesAddress);
    register(id, "sidecar", service, zone, ready);
    sidecarAddresses.add(ready.path("http").asText());
  }

  private void startEntry(String id, String zone) {
    JsonNode ready =
        fleet.start(
            id,
            "entry",
            "--id",
            id,
            "--zone",
            zone,
            "--region",
            "region",
            "--log",
            logAddress,
            "--instances",
            instancesAddress);
    register(id, "entry", "", zone, ready);
    entryAddresses.add(ready.path("http").asText());
  }

  private void register(String id, String kind, String service, String zone, JsonNode ready) {
    String json =
        MAPPER
            .createObjectNode()
            .put("id", id)
            .put("kind", kind)
            .put("service", service)
            .put("zone", zone)
            .put("region", "region")
            .put("address", ready.path("link").asText())
            .put("httpAddress", ready.path("http").asText())
            .put("incarnation", ready.path("incarnation").asLong())
            .put("state", "live")
            .toString();
    HttpResponse<String> answer =
        ProcessFleet.sendHttp("PUT", instancesAddress, "/instances/" + id, json);
    assertWithMessage("%s", answer.body()).that(answer.statusCode()).isLessThan(300);
  }

  private LoadDriver newLoadDriver(List<String> targets, int chats, int turns, int concurrency) {
    ImmutableList<InetSocketAddress> addresses =
        targets.stream()
            .map(t -> t.split(":"))
            .map(t -> new InetSocketAddress(t[0], Integer.parseInt(t[1])))
            .collect(ImmutableList.toImmutableList());
    LoadPlan plan =
        new LoadPlan(
            addresses,
            ImmutableList.of("w0", "w1", "w2"),
            MODEL,
            chats,
            turns,
            concurrency,
            20,
            true,
            true,
            100,
            7);
    return LoadDriver.create(client, timer, plan);
  }

  private static LoadResult runLoad(LoadDriver driver) {
    try {
      return driver.run();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  private static long failureCount(LoadResult result) {
    return result.failures().values().stream().mapToLong(Long::longValue).sum();
  }

  private static String longChatRequest() {
    return """
        {"model":"draft","max_tokens":400,"messages":[{"role":"user","content":"a long answer"}]}
        """;
  }

  private static JsonNode status(String entry) {
    try {
      return MAPPER.readTree(ProcessFleet.sendHttp("GET", entry, "/status", "").body());
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  private static int liveUpstreamCount(String entry) {
    int live = 0;
    for (JsonNode service : status(entry).path("services")) {
      live += service.path("upstreams").size();
    }
    return live;
  }

  private static int inFlightCount(String entry) {
    return status(entry).path("inFlight").asInt();
  }
}
