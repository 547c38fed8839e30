package org.tanagerbank.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.tanagerbank.configreplica.ConfigRecord;
import org.tanagerbank.configreplica.ConfigRecordCodec;
import org.tanagerbank.http.AsyncHttpClient;
import org.tanagerbank.http.HttpRequestMessage;
import org.tanagerbank.http.HttpResponseMessage;
import org.tanagerbank.http.Json;
import org.tanagerbank.instance.InstanceInfo;
import org.tanagerbank.instance.InstanceKind;
import org.tanagerbank.instance.InstanceState;
import org.tanagerbank.instance.Zone;
import org.tanagerbank.platformclient.HttpInstanceList;
import org.tanagerbank.platformclient.HttpLogService;
import org.tanagerbank.request.Lifecycle;
import org.tanagerbank.sidecar.Sidecar;
import org.tanagerbank.sidecar.SidecarSettings;
import org.tanagerbank.standin.EngineSettings;
import org.tanagerbank.standin.EngineStandin;
import org.tanagerbank.standin.InstanceListStandin;
import org.tanagerbank.standin.LogSettings;
import org.tanagerbank.standin.LogStandin;
import org.tanagerbank.standin.PlainStandin;
import org.tanagerbank.standin.Standin;

/**
 * A test fixture that runs entries, sidecars and stand-ins in one process, connected over the
 * loopback interface.
 */
final class LocalFleet implements AutoCloseable {
  static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  static final Zone ZONE = new Zone("hala-a", "mazowsze");
  static final String DECLARATION =
      """
      services:
        model-pool:
          kind: engine
          models: [draft-1]
          loadMultiple: 4
        register-app:
          kind: plain
          nonIdempotentPaths: [/register/entries]
      """;

  private static final long WAIT_MILLIS = 30_000;
  private static final long CALL_MILLIS = 30_000;

  final LogStandin log = LogStandin.create(ANY, LogSettings.defaults());
  final InstanceListStandin list = InstanceListStandin.create(ANY, 0, 0);
  final List<Entry> entries = new ArrayList<>();
  final Map<String, Standin> upstreams = new LinkedHashMap<>();
  final Map<String, Sidecar> sidecars = new LinkedHashMap<>();
  private final Deque<Lifecycle> started = new ArrayDeque<>();
  private final AsyncHttpClient client = AsyncHttpClient.create(CALL_MILLIS);
  private final Map<String, Long> incarnations = new HashMap<>();
  private long incarnation = 100;
  private long revision;

  LocalFleet(int entryCount, int engines) {
    start(client);
    start(log);
    start(list);
    publish(DECLARATION);
    for (int i = 0; i < entryCount; i++) {
      addEntry("entry-" + i);
    }
    for (int i = 0; i < engines; i++) {
      addSidecar(
          "engine-" + i,
          "model-pool",
          EngineStandin.create(ANY, EngineSettings.defaults().stepMillis(1)));
    }
    addSidecar("plain-0", "register-app", PlainStandin.create(ANY, 1));
    await(() -> entries.stream().allMatch(e -> isUsable(e, engines)));
  }

  /** Returns whether an entry lists all upstreams, and all sidecars accept requests. */
  private boolean isUsable(Entry entry, int engines) {
    return entry.fleet().upstreams("model-pool").size() == engines
        && entry.fleet().upstreams("register-app").size() == 1
        && entry.fleet().config().isPresent()
        && sidecars.values().stream()
            .allMatch(s -> statusCode(s.httpAddress(), "/health/ready") == 200);
  }

  private void start(Lifecycle component) {
    component.start();
    started.push(component);
  }

  void publish(String text) {
    HttpLogService service = HttpLogService.create(client, log.address(), 2_000);
    revision =
        service.append(
            ConfigRecord.STREAM,
            ConfigRecordCodec.encode(
                new ConfigRecord.Publish("publish-" + revision, revision, "test", text)));
  }

  Entry addEntry(String id) {
    Entry entry =
        Entry.create(
            new EntrySettings(id, ZONE, ++incarnation, ANY, ANY, 100_000, 0),
            HttpInstanceList.create(client, list.address(), 2_000),
            HttpLogService.create(client, log.address(), 2_000));
    start(entry);
    entries.add(entry);
    register(id, InstanceKind.ENTRY, "", entry.linkAddress());
    return entry;
  }

  void addSidecar(String id, String service, Standin upstream) {
    start(upstream);
    upstreams.put(id, upstream);
    startSidecar(id, service);
  }

  void startSidecar(String id, String service) {
    Sidecar sidecar =
        Sidecar.create(
            new SidecarSettings(
                id,
                ++incarnation,
                service,
                ZONE,
                ANY,
                ANY,
                upstreams.get(id).address(),
                log.address(),
                list.address(),
                0));
    start(sidecar);
    sidecars.put(id, sidecar);
    incarnations.put(id, incarnation);
    register(id, InstanceKind.SIDECAR, service, sidecar.linkAddress());
  }

  private void register(String id, InstanceKind kind, String service, InetSocketAddress address) {
    long own = incarnations.computeIfAbsent(id, i -> incarnation);
    list.register(
        new InstanceInfo(id, kind, service, ZONE, address, address, own, InstanceState.LIVE));
  }

  /** Stops a sidecar without draining it. */
  void kill(String sidecarId) {
    Sidecar sidecar = sidecars.remove(sidecarId);
    started.remove(sidecar);
    sidecar.stop();
  }

  /**
   * Registers another link address of an engine's sidecar, and waits until the first entry uses it.
   */
  void moveSidecar(String id, InetSocketAddress address) {
    register(id, InstanceKind.SIDECAR, "model-pool", address);
    FleetState fleet = entries.get(0).fleet();
    await(() -> fleet.upstreams("model-pool").stream().anyMatch(u -> u.address().equals(address)));
  }

  private HttpResponseMessage get(InetSocketAddress address, String path) {
    HttpRequestMessage message =
        new HttpRequestMessage("GET", path, ImmutableMap.of(), new byte[0]);
    return client.exchange(address, message, CALL_MILLIS);
  }

  int statusCode(InetSocketAddress address, String path) {
    return get(address, path).status();
  }

  long revision() {
    return revision;
  }

  /** Returns the configuration revision that the status of a process names. */
  long revisionOf(InetSocketAddress address) {
    return Json.parseObject(get(address, "/status").body()).path("revision").asLong();
  }

  /** Returns the number of running requests that an engine reports. */
  int running(String upstreamId) {
    HttpResponseMessage response = get(upstreams.get(upstreamId).address(), "/load");
    return Json.parseObject(response.body()).path("running").asInt();
  }

  /** Returns the mean load of the engines according to the status of an entry. */
  double meanLoad(int entry) {
    HttpResponseMessage response = get(entries.get(entry).httpAddress(), "/status");
    return Json.parseObject(response.body())
        .path("services")
        .path("model-pool")
        .path("meanLoad")
        .asDouble();
  }

  /** Sends a request to an entry. The headers are alternating names and values. */
  HttpResponseMessage call(int entry, String method, String path, String body, String... headers) {
    ImmutableMap.Builder<String, String> map = ImmutableMap.builder();
    map.put("content-type", "application/json");
    for (int i = 0; i < headers.length; i += 2) {
      map.put(headers[i], headers[i + 1]);
    }
    return client.exchange(
        entries.get(entry).httpAddress(),
        new HttpRequestMessage(
            method, path, map.buildOrThrow(), body.getBytes(StandardCharsets.UTF_8)),
        CALL_MILLIS);
  }

  /** Requests a chat completion from an entry. The headers are alternating names and values. */
  HttpResponseMessage chat(int entry, String text, int tokens, boolean stream, String... headers) {
    ObjectNode body =
        Json.object().put("model", "draft-1").put("max_tokens", tokens).put("stream", stream);
    body.putArray("messages").addObject().put("role", "user").put("content", text);
    return call(entry, "POST", "/v1/chat/completions", body.toString(), headers);
  }

  /** Returns the number of executions counted by the upstreams whose ids start with a prefix. */
  long executions(String prefix) {
    long sum = 0;
    for (Map.Entry<String, Standin> upstream : upstreams.entrySet()) {
      if (upstream.getKey().startsWith(prefix)) {
        HttpResponseMessage response = get(upstream.getValue().address(), "/admin/executions");
        sum += Json.parseObject(response.body()).path("total").asLong();
      }
    }
    return sum;
  }

  static void await(BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + WAIT_MILLIS * 1_000_000;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadlineNanos) {
        throw new AssertionError("condition not met within " + WAIT_MILLIS + " ms");
      }
      Thread.onSpinWait();
    }
  }

  @Override
  public void close() {
    while (!started.isEmpty()) {
      started.pop().stop();
    }
  }
}
