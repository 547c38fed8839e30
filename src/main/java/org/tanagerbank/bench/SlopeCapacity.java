package org.tanagerbank.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Streams;
import java.math.BigDecimal;
import java.math.MathContext;
import java.util.stream.Stream;

/**
 * Computes the resource use of each role at the size planned for two years, from measured slopes.
 *
 * <p>The sizes are those of the design. Values that the design does not state are assumptions and
 * are listed in {@code docs/CAPACITY.md}. Rates are peak rates. Not thread-safe.
 */
final class SlopeCapacity {
  private static final double SECONDS_PER_DAY = 86_400;
  private static final double ENTRIES = 380;
  private static final double UPSTREAMS = 12_000;
  private static final double REGIONS = 4;
  private static final double ENTRIES_PER_REGION = 95;
  private static final double UPSTREAMS_PER_REGION = 3_000;
  private static final double ENTRIES_PER_ZONE = 38;
  private static final double UPSTREAMS_PER_ZONE = 1_200;

  /** A region has 2.5 zones on average: 95 entries with 38 in each zone. */
  private static final double OTHER_ZONES_PER_REGION = 1.5;

  private static final double SERVICES = 10;
  private static final double REQUESTS_PER_SECOND = 10_000;
  private static final double CHATS = 3_800_000;
  private static final double WORKSPACES = 34_000;
  private static final double CONFIG_CHANGES_PER_SECOND = 35_000 / SECONDS_PER_DAY;

  /** The TCP, IP and Ethernet headers of a message that is sent in a packet of its own. */
  private static final double HEADER_BYTES = 66;

  /** The factor by which records grow on reads, because the log returns them in base64. */
  private static final double BASE64_EXPANSION = 4.0 / 3;

  /**
   * The duration of an answer: 1.2 s to the first token, then 460 tokens (4.6 million tokens/s at
   * 10,000 requests/s) at 51 ms each.
   */
  private static final double ANSWER_SECONDS = 1.2 + 460 * 0.051;

  /** Assumption: one request in 100 has an idempotency key that its caller created. */
  private static final double KEYED_REQUESTS_PER_SECOND = 0.01 * REQUESTS_PER_SECOND;

  /** Assumption: the size of a record with one change instead of the whole configuration. */
  private static final double DELTA_RECORD_BYTES = 300;

  private static final double BUDGET_BYTES_PER_SECOND = 28_000;
  private static final double LINK_IDLE_SECONDS = 60;
  private static final double TICKS_PER_SECOND = 200;
  private static final double SUMS_PER_SECOND = 5;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double BYTES_PER_MB = 1e6;
  private static final double BYTES_PER_KB = 1e3;

  private final JsonNode slopes;
  private final ImmutableMap.Builder<String, String> results = ImmutableMap.builder();

  private double payloadBytes;
  private double bytesWithHeaders;
  private double entryPayloadBytes;
  private double entryBytesWithHeaders;

  private SlopeCapacity(JsonNode slopes) {
    this.slopes = slopes;
  }

  /** Returns the results as numbers with units, by name, in the order of the capacity page. */
  static ImmutableMap<String, String> of(JsonNode slopes) {
    SlopeCapacity capacity = new SlopeCapacity(slopes);
    capacity.entryMemory();
    capacity.entryMessages();
    capacity.entryTime();
    capacity.instanceList();
    capacity.configuration();
    capacity.sidecar();
    capacity.log();
    capacity.failures();
    capacity.totals();
    return capacity.results.buildOrThrow();
  }

  private JsonNode row(String name) {
    return Stream.of("heap", "message", "time")
        .flatMap(group -> Streams.stream(slopes.path(group)))
        .filter(r -> r.path("name").asText().equals(name))
        .findFirst()
        .orElseThrow(
            () -> new IllegalArgumentException("the measurement has no row named " + name));
  }

  private double slope(String name) {
    return row(name).required("slope").asDouble();
  }

  /** Returns the cost at a size on the fitted line. */
  private double costAt(String name, double size) {
    return row(name).required("intercept").asDouble() + size * slope(name);
  }

  /** Returns the cost measured at the largest size. */
  private double costAtLargestSize(String name) {
    JsonNode costs = row(name).required("costs");
    return costs.get(costs.size() - 1).asDouble();
  }

  private void putResult(String name, double value, String unit) {
    String number = new BigDecimal(value).round(new MathContext(3)).toPlainString();
    boolean withoutSpace = unit.startsWith("%") || unit.startsWith("/");
    results.put(name, number + (withoutSpace ? "" : " ") + unit);
  }

  /**
   * Adds the rates of a stream of messages, without and with packet headers, to the results and to
   * the running totals.
   */
  private void putMessageStream(String name, double perSecond, double bytes) {
    payloadBytes += perSecond * bytes;
    bytesWithHeaders += perSecond * (bytes + HEADER_BYTES);
    putResult(name + ": messages", perSecond, "/s");
    putResult(name + ": payload", perSecond * bytes / BYTES_PER_KB, "KB/s");
    putResult(name + ": with headers", perSecond * (bytes + HEADER_BYTES) / BYTES_PER_KB, "KB/s");
  }

  private static double requestsPerEntry() {
    return REQUESTS_PER_SECOND / ENTRIES;
  }

  /**
   * Returns the number of upstreams of the region to which an entry has an open link, if requests
   * are spread at random. A link stays open for a minute after its last answer.
   */
  private static double openLinks() {
    double used = requestsPerEntry() * (LINK_IDLE_SECONDS + ANSWER_SECONDS) / UPSTREAMS_PER_REGION;
    return UPSTREAMS_PER_REGION * (1 - Math.exp(-used));
  }

  private void entryMemory() {
    double links = openLinks() + UPSTREAMS / ENTRIES;
    putResult(
        "entry view, whole list",
        costAt("membership-view", UPSTREAMS + ENTRIES) / BYTES_PER_MB,
        "MB");
    double region = UPSTREAMS_PER_REGION + ENTRIES_PER_REGION;
    putResult("entry view, region only", costAt("membership-view", region) / BYTES_PER_MB, "MB");
    double tables =
        SERVICES * costAt("slot-router", 0) + UPSTREAMS_PER_REGION * slope("slot-router");
    putResult("entry routers, 10 services", tables / BYTES_PER_MB, "MB");
    double text = costAt("config-text", WORKSPACES);
    putResult(
        "entry declaration and text",
        (costAt("declaration", WORKSPACES) + text) / BYTES_PER_MB,
        "MB");
    putResult("entry open links", links, "links");
    putResult("entry links", links * slope("idle-link") / 2 / BYTES_PER_MB, "MB");
    putResult(
        "entry claim index",
        KEYED_REQUESTS_PER_SECOND * SECONDS_PER_DAY * slope("claim-index") / BYTES_PER_MB,
        "MB");
    putResult(
        "keys/s whose index takes 64 MB",
        64 * BYTES_PER_MB / SECONDS_PER_DAY / slope("claim-index"),
        "/s");
  }

  private void entryMessages() {
    double sidecars = UPSTREAMS / ENTRIES;
    double changes = 2 * REQUESTS_PER_SECOND / UPSTREAMS;
    putMessageStream("entry reports", sidecars * changes, slope("load-report"));
    putMessageStream("entry replies", sidecars * changes, slope("load-reply"));
    double pingsPerSidecar = 2 * Math.exp(-changes / 2);
    putMessageStream("entry pings and pongs", 2 * sidecars * pingsPerSidecar, slope("ping"));
    double own = SERVICES * SUMS_PER_SECOND;
    double asAggregator = SERVICES / ENTRIES_PER_ZONE * (ENTRIES_PER_ZONE - 1) * SUMS_PER_SECOND;
    double zones = 2 * SERVICES / ENTRIES_PER_ZONE * OTHER_ZONES_PER_REGION * SUMS_PER_SECOND;
    putMessageStream("entry load sums", 2 * own + 2 * asAggregator + zones, costAt("load-sums", 1));
    double unused =
        Math.exp(-requestsPerEntry() * (LINK_IDLE_SECONDS + ANSWER_SECONDS) / UPSTREAMS_PER_REGION);
    putMessageStream("entry hellos", 2 * requestsPerEntry() * unused, slope("hello"));
    putMessageStream("entry spill notices", 0.1 * requestsPerEntry() * 2, slope("spill-notice"));
    entryPayloadBytes = payloadBytes;
    entryBytesWithHeaders = bytesWithHeaders;
    putResult("entry messages in all: payload", payloadBytes / BYTES_PER_KB, "KB/s");
    putResult("entry messages in all: with headers", bytesWithHeaders / BYTES_PER_KB, "KB/s");
  }

  private void entryTime() {
    putResult(
        "entry decisions",
        100 * requestsPerEntry() * costAtLargestSize("decision") / NANOS_PER_SECOND,
        "% of a core");
    double reports = 2 * REQUESTS_PER_SECOND / ENTRIES;
    double nanosPerReport =
        costAtLargestSize("load-report-taken") + costAt("load-reply-made", UPSTREAMS / ENTRIES);
    putResult(
        "entry reports and replies",
        100 * reports * nanosPerReport / NANOS_PER_SECOND,
        "% of a core");
    double tickNanos = TICKS_PER_SECOND * SERVICES * costAtLargestSize("load-tick");
    putResult("entry ticks, 10 services", 100 * tickNanos / NANOS_PER_SECOND, "% of a core");
    double changesPerSecond = 1_630 / REGIONS / SECONDS_PER_DAY;
    double tables =
        changesPerSecond
            * (costAtLargestSize("slot-table-join") + costAtLargestSize("slot-table-leave"));
    putResult("entry joins and leaves", 100 * tables / NANOS_PER_SECOND, "% of a core");
    putResult(
        "entry claims",
        100 * KEYED_REQUESTS_PER_SECOND * slope("claim") / NANOS_PER_SECOND,
        "% of a core");
  }

  private void instanceList() {
    double listBytes = costAtLargestSize("list-row");
    double parseNanos = costAtLargestSize("list-parse");
    putResult("whole list", listBytes / BYTES_PER_MB, "MB");
    putResult("entry list reads", listBytes / BYTES_PER_KB, "KB/s");
    putResult("entry list reads over the limit", listBytes / BUDGET_BYTES_PER_SECOND, "times");
    putResult(
        "entry list time",
        100 * (parseNanos + costAtLargestSize("list-merge")) / NANOS_PER_SECOND,
        "% of a core");
    putResult("sidecar list time", 100 * parseNanos / NANOS_PER_SECOND, "% of a core");
    putResult("platform list reads", (ENTRIES + UPSTREAMS) * listBytes / NANOS_PER_SECOND, "GB/s");
    double region = UPSTREAMS_PER_REGION + ENTRIES_PER_REGION;
    putResult("list rows that fit 28 KB/s", BUDGET_BYTES_PER_SECOND / slope("list-row"), "rows");
    putResult("list of a region", region * slope("list-row") / BYTES_PER_KB, "KB");
    double rows = 2 * 1_630 / SECONDS_PER_DAY * slope("list-row");
    putResult("changed rows of the fleet", rows, "bytes/s");
  }

  private void configuration() {
    double record = costAt("config-record", WORKSPACES);
    putResult("configuration text", costAt("config-text", WORKSPACES) / BYTES_PER_KB, "KB");
    putResult("configuration record", record / BYTES_PER_KB, "KB");
    putResult(
        "entry configuration reads",
        CONFIG_CHANGES_PER_SECOND * record * BASE64_EXPANSION / BYTES_PER_KB,
        "KB/s");
    putResult(
        "entry configuration time",
        100 * CONFIG_CHANGES_PER_SECOND * costAtLargestSize("config-adopt") / NANOS_PER_SECOND,
        "% of a core");
    putResult(
        "largest record that fits 28 KB/s",
        BUDGET_BYTES_PER_SECOND / CONFIG_CHANGES_PER_SECOND / BASE64_EXPANSION / BYTES_PER_KB,
        "KB");
    double section = costAt("config-text", WORKSPACES / SERVICES);
    double push = slope("config-push") * section / BYTES_PER_KB;
    double receivers = UPSTREAMS / ENTRIES / SERVICES;
    putResult(
        "entry configuration pushes",
        CONFIG_CHANGES_PER_SECOND * receivers * push / BYTES_PER_KB,
        "KB/s");
    putResult(
        "sidecar configuration pushes",
        CONFIG_CHANGES_PER_SECOND / SERVICES * push / BYTES_PER_KB,
        "KB/s");
    putResult(
        "entry configuration as deltas",
        CONFIG_CHANGES_PER_SECOND
            * (DELTA_RECORD_BYTES * BASE64_EXPANSION + HEADER_BYTES)
            / BYTES_PER_KB,
        "KB/s");
  }

  private void sidecar() {
    double requests = REQUESTS_PER_SECOND / UPSTREAMS;
    double changes = 2 * requests;
    putMessageStream("sidecar reports and replies", 2 * changes, slope("load-report"));
    double pingsPerSidecar = 2 * Math.exp(-changes / 2);
    putMessageStream("sidecar pings and pongs", 2 * pingsPerSidecar, slope("ping"));
    putResult("sidecar ledger", 600 * requests * slope("ledger-record") / BYTES_PER_MB, "MB");
    putResult(
        "sidecar keys",
        KEYED_REQUESTS_PER_SECOND
            / UPSTREAMS
            * SECONDS_PER_DAY
            * slope("ledger-key")
            / BYTES_PER_MB,
        "MB");
    putResult(
        "sidecar home directory",
        CHATS / UPSTREAMS * slope("home-directory-spilled") / BYTES_PER_MB,
        "MB");
    putResult("sidecar answers", 120 * requests * slope("retained-answer") / BYTES_PER_MB, "MB");
    putResult("sidecar section", costAt("declaration", WORKSPACES / SERVICES) / BYTES_PER_MB, "MB");
    double request = slope("ledger-submit-finish") * requests;
    putResult("sidecar ledger time", 100 * request / NANOS_PER_SECOND, "% of a core");
  }

  private void log() {
    putResult("log appends, configuration", CONFIG_CHANGES_PER_SECOND, "/s");
    putResult("log appends, snapshots", 35 / SECONDS_PER_DAY, "/s");
    putResult("log appends, claims today", KEYED_REQUESTS_PER_SECOND, "/s");
    putResult("log appends, claims at most today", ENTRIES * 10, "/s");
    putResult("log appends, claims in 16 streams", 160, "/s");
    putResult("log appends, quarantine", 2 * 130 / SECONDS_PER_DAY, "/s");
    putResult("log appends, orders", 1_630 / SECONDS_PER_DAY, "/s");
    putResult("log reads, claims today", KEYED_REQUESTS_PER_SECOND * ENTRIES, "/s");
    putResult("log reads, quarantine", UPSTREAMS / 30, "/s");
    putResult("log reads, leases", UPSTREAMS / 4, "/s");
    putResult(
        "entry claim reads",
        KEYED_REQUESTS_PER_SECOND * slope("claim-record") * BASE64_EXPANSION / BYTES_PER_KB,
        "KB/s");
  }

  private void failures() {
    double remainingUpstreams = UPSTREAMS_PER_REGION - UPSTREAMS_PER_ZONE;
    putResult(
        "zone lost: tables at once",
        SERVICES * row("slot-table-zone").required("costs").get(0).asDouble() / NANOS_PER_SECOND,
        "s");
    double oneByOne = row("slot-table-leave").required("costs").get(0).asDouble();
    putResult(
        "zone lost: tables one by one", UPSTREAMS_PER_ZONE * oneByOne / NANOS_PER_SECOND, "s");
    double perRegion = REQUESTS_PER_SECOND / REGIONS;
    putResult(
        "zone lost: in flight per engine before",
        perRegion / UPSTREAMS_PER_REGION * ANSWER_SECONDS,
        "requests");
    putResult(
        "zone lost: in flight per engine",
        perRegion / remainingUpstreams * ANSWER_SECONDS,
        "requests");
    putResult(
        "zone lost: requests per entry", perRegion / (ENTRIES_PER_REGION - ENTRIES_PER_ZONE), "/s");
    putResult(
        "zone lost: chats with a new home",
        CHATS / REGIONS * UPSTREAMS_PER_ZONE / UPSTREAMS_PER_REGION,
        "chats");
    double missedRecords = 3_600 * CONFIG_CHANGES_PER_SECOND;
    double missedBytes = missedRecords * costAt("config-record", WORKSPACES) * BASE64_EXPANSION;
    putResult("hour parted: records missed", missedRecords, "records");
    putResult("hour parted: configuration", missedBytes / BYTES_PER_MB, "MB");
    putResult(
        "hour parted: time to adopt",
        missedRecords * costAtLargestSize("config-adopt") / NANOS_PER_SECOND,
        "s");
    putResult("hour parted: time to read at 28 KB/s", missedBytes / BUDGET_BYTES_PER_SECOND, "s");
    putResult(
        "hour parted: as deltas at 28 KB/s",
        missedRecords * DELTA_RECORD_BYTES * BASE64_EXPANSION / BUDGET_BYTES_PER_SECOND,
        "s");
    double claims = 3_600 * KEYED_REQUESTS_PER_SECOND * slope("claim-record") * BASE64_EXPANSION;
    putResult("hour parted: claims", claims / BYTES_PER_MB, "MB");
  }

  /** Adds the totals of an entry to the results, as percentages of its limits. */
  private void totals() {
    double stateBytes =
        costAt("membership-view", UPSTREAMS + ENTRIES)
            + SERVICES * costAt("slot-router", 0)
            + UPSTREAMS_PER_REGION * slope("slot-router")
            + costAt("declaration", WORKSPACES)
            + costAt("config-text", WORKSPACES)
            + (openLinks() + UPSTREAMS / ENTRIES) * slope("idle-link") / 2;
    putResult(
        "entry memory without claims, of 256 MB", 100 * stateBytes / (256 * BYTES_PER_MB), "%");
    double nanos =
        TICKS_PER_SECOND * SERVICES * costAtLargestSize("load-tick")
            + costAtLargestSize("list-parse")
            + costAtLargestSize("list-merge")
            + CONFIG_CHANGES_PER_SECOND * costAtLargestSize("config-adopt");
    putResult(
        "entry ticks, list and configuration, of 3.1%",
        100 * nanos / (0.031 * NANOS_PER_SECOND), "%");
    double readBytes =
        costAtLargestSize("list-row")
            + CONFIG_CHANGES_PER_SECOND * costAt("config-record", WORKSPACES) * BASE64_EXPANSION
            + entryPayloadBytes;
    putResult(
        "entry list, configuration and messages, of 28 KB/s",
        100 * readBytes / BUDGET_BYTES_PER_SECOND,
        "%");
    putResult("entry messages, of 28 KB/s", 100 * entryPayloadBytes / BUDGET_BYTES_PER_SECOND, "%");
    putResult(
        "entry messages with headers, of 28 KB/s",
        100 * entryBytesWithHeaders / BUDGET_BYTES_PER_SECOND,
        "%");
  }
}
