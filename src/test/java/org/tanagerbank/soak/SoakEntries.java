package org.tanagerbank.soak;

import static java.util.stream.Collectors.joining;

/** The JSON that the operator and the engines write to the store. Stateless and thread-safe. */
final class SoakEntries {
  private SoakEntries() {}

  /**
   * Returns a configuration with all routes of {@link SoakRoute} and their services.
   *
   * @param slots the number of requests that an engine runs at a time
   * @param memoryTokens the tokens that the memory of an engine holds
   */
  static String config(int maxConnections, int slots, int memoryTokens) {
    String engine =
        String.format(",\"engine\":{\"slots\":%d,\"kv-capacity\":%d}", slots, memoryTokens);
    return String.format(
        "{\"version\":1,\"routes\":[%s],\"services\":[%s,%s],"
            + "\"tenants\":[{\"name\":\"w\",\"api-keys\":[\"key\"]}]}",
        SoakRoute.ALL.stream().map(SoakEntries::route).collect(joining(",")),
        service(SoakRoute.ENGINE_SERVICE, maxConnections, engine),
        service(SoakRoute.PLAIN_SERVICE, maxConnections, ""));
  }

  private static String service(String name, int maxConnections, String engine) {
    return String.format("{\"name\":\"%s\",\"max-conns\":%d%s}", name, maxConnections, engine);
  }

  private static String route(SoakRoute route) {
    return String.format(
        "{\"name\":\"%s\",\"host\":\"h\",\"path-prefix\":\"/%s/\",\"type\":\"%s\",\"sticky\":%s,"
            + "\"resumable\":%s,\"timeout-ms\":%d,\"slo-ms\":500,\"gap-aim-ms\":400,"
            + "\"service\":\"%s\",\"attempts\":%d}",
        route.name(),
        route.name(),
        route.type(),
        route.isStream(),
        route.isResumable(),
        OverloadCallers.DEADLINE_MILLIS,
        route.service(),
        route.attempts());
  }

  /** Returns the report of an engine that starts, or ends, now. */
  static String upstream(String service, int port, int slots, String state) {
    return upstream(service, port, slots, state, 1, System.currentTimeMillis());
  }

  /** Returns a report of an upstream. */
  static String upstream(
      String service, int port, int slots, String state, int sequence, long startedAtMillis) {
    return String.format(
        "{\"service\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"z\",\"version\":\"v1\","
            + "\"slots\":%d,\"state\":\"%s\",\"cold-left-ms\":0,\"seq\":%d,\"born\":%d}",
        service, port, slots, state, sequence, startedAtMillis);
  }
}
