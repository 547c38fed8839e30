package org.tanagerbank.standin;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.tanagerbank.http.AsyncHttpServer;
import org.tanagerbank.http.HttpErrors;
import org.tanagerbank.http.HttpExchange;
import org.tanagerbank.http.HttpRequestMessage;
import org.tanagerbank.http.HttpResponseMessage;
import org.tanagerbank.http.Json;
import org.tanagerbank.instance.InstanceInfo;
import org.tanagerbank.platformclient.InstanceRowCodec;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;

/**
 * Stand-in for the platform's instance list, which serves the list with a configurable lag.
 *
 * <p>If a probe interval is set, instances whose address refuses connections are removed. {@code
 * POST /admin} accepts {@code lagMillis} and {@code outage}. Thread-safe.
 */
public final class InstanceListStandin implements Standin {
  private static final int MAX_BODY_BYTES = 1 << 20;
  private static final int PROBE_TIMEOUT_MILLIS = 200;
  private static final String PREFIX = "/instances/";

  private final long probeMillis;
  private final AsyncHttpServer http;
  private final StandinTimer timer = new StandinTimer("instances-standin");
  private final Map<String, InstanceInfo> current = new LinkedHashMap<>();

  /**
   * The versions of the list, ordered by time. After each read, the first one is the version that
   * the read served.
   */
  private final List<Version> versions = new ArrayList<>();

  private long lagMillis;
  private boolean outage;

  private record Version(long atMillis, ImmutableMap<String, InstanceInfo> instances) {}

  private InstanceListStandin(InetSocketAddress bind, long lagMillis, long probeMillis) {
    checkArgument(lagMillis >= 0, "lagMillis must not be negative: %s", lagMillis);
    checkArgument(probeMillis >= 0, "probeMillis must not be negative: %s", probeMillis);
    this.lagMillis = lagMillis;
    this.probeMillis = probeMillis;
    this.http = AsyncHttpServer.create(bind, MAX_BODY_BYTES, this::handle);
    versions.add(new Version(0, ImmutableMap.of()));
  }

  /**
   * Creates an instance list that listens on an address after {@link #start}.
   *
   * @param lagMillis the age of the served list
   * @param probeMillis the time between probes of the instances; 0 disables probes
   */
  public static InstanceListStandin create(
      InetSocketAddress bind, long lagMillis, long probeMillis) {
    return new InstanceListStandin(bind, lagMillis, probeMillis);
  }

  @Override
  public void start() {
    timer.start();
    http.start();
    if (probeMillis > 0) {
      timer.runPeriodically(probeMillis, this::probe);
    }
  }

  @Override
  public void stop() {
    http.stop();
    timer.stop();
  }

  @Override
  public InetSocketAddress address() {
    return http.address();
  }

  /** Registers an instance, or replaces the registered one with the same id. */
  public synchronized void register(InstanceInfo info) {
    current.put(info.id(), info);
    recordVersion();
  }

  /** Removes an instance; has no effect if the id is not registered. */
  public synchronized void remove(String id) {
    if (current.remove(id) != null) {
      recordVersion();
    }
  }

  private void recordVersion() {
    versions.add(new Version(System.currentTimeMillis(), ImmutableMap.copyOf(current)));
  }

  private void handle(HttpRequestMessage request, HttpExchange exchange) {
    String path = request.pathOnly();
    String call = request.method() + " " + path;
    if (call.equals("POST /admin")) {
      exchange.respond(admin(Json.parseObject(request.body())));
    } else if (call.equals("GET /instances")) {
      exchange.respond(list());
    } else if (path.startsWith(PREFIX) && request.method().equals("PUT")) {
      register(parseInstance(path.substring(PREFIX.length()), Json.parseObject(request.body())));
      exchange.respond(HttpErrors.json(200, Json.object()));
    } else if (path.startsWith(PREFIX) && request.method().equals("DELETE")) {
      remove(path.substring(PREFIX.length()));
      exchange.respond(HttpErrors.json(200, Json.object()));
    } else {
      throw TanagerException.notRun(ErrorCode.NOT_FOUND, "no such endpoint: " + call);
    }
  }

  private synchronized HttpResponseMessage admin(ObjectNode body) {
    lagMillis = body.path("lagMillis").asLong(lagMillis);
    outage = body.path("outage").asBoolean(outage);
    return HttpErrors.json(200, Json.object().put("lagMillis", lagMillis).put("outage", outage));
  }

  private static InstanceInfo parseInstance(String id, ObjectNode body) {
    try {
      return InstanceRowCodec.fromJson(body.put("id", id));
    } catch (IllegalArgumentException e) {
      throw TanagerException.notRun(ErrorCode.BAD_REQUEST, "invalid instance: " + e.getMessage());
    }
  }

  private synchronized HttpResponseMessage list() {
    if (outage) {
      return Standin.error(503, "UNAVAILABLE", "the instance list has an outage", 1_000);
    }
    long latestVisibleMillis = System.currentTimeMillis() - lagMillis;
    while (versions.size() > 1 && versions.get(1).atMillis() <= latestVisibleMillis) {
      versions.remove(0);
    }
    Version version = versions.get(0);
    ObjectNode body = Json.object();
    ArrayNode rows = body.putArray("instances");
    version.instances().values().forEach(info -> rows.add(InstanceRowCodec.toJson(info)));
    return HttpErrors.json(200, body);
  }

  private void probe() {
    ImmutableMap<String, InstanceInfo> probedInstances;
    synchronized (this) {
      probedInstances = ImmutableMap.copyOf(current);
    }
    probedInstances.values().stream()
        .filter(info -> refusesConnection(info.address()))
        .forEach(this::removeIfUnchanged);
  }

  private synchronized void removeIfUnchanged(InstanceInfo info) {
    if (info.equals(current.get(info.id()))) {
      remove(info.id());
    }
  }

  private static boolean refusesConnection(InetSocketAddress address) {
    try (Socket socket = new Socket()) {
      socket.connect(address, PROBE_TIMEOUT_MILLIS);
      return false;
    } catch (ConnectException e) {
      return true;
    } catch (IOException e) {
      return false;
    }
  }
}
