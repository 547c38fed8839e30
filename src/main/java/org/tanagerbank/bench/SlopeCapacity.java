package org.tanagerbank.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Streams;
import java.math.BigDecimal;
import java.math.MathContext;
import java.util.stream.Stream;

/**
 * Computes from measured slopes what each role costs at the two-year size.
 *
 * <p>The sizes are those of the design; what it does not state is an assumption, named in {@code
 * docs/CAPACITY.md}. Rates are of the peak. Not thread-safe.
 */
final class SlopeCapacity {
  private static final double DAY = 86_400;
  private static final double ENTRIES = 380;
  private static final double UPSTREAMS = 12_000;
  private static final double REGIONS = 4;
  private static final double ENTRIES_OF_REGION = 95;
  private static final double UPSTREAMS_OF_REGION = 3_000;
  private static final double ENTRIES_OF_ZONE = 38;
  private static final double UPSTREAMS_OF_ZONE = 1_200;
  private static final double OTHER_ZONES = 1.5;
  private static final double SERVICES = 10;
  private static final double REQUESTS = 10_000;
  private static final double CHATS = 3_800_000;
  private static final double WORKSPACES = 34_000;
  private static final double CHANGES = 35_000 / DAY;

  /** TCP, IP and Ethernet headers of a message that travels alone. */
  private static final double HEADER = 66;

  /** Records of the log are read as base64. */
  private static final double BASE64 = 4.0 / 3;

  /** 460 tokens (4.6 million tokens/s at 10,000 requests/s) at 51 ms, after 1.2 s. */
  private static final double ANSWER_SECONDS = 1.2 + 460 * 0.051;

  /** Assumption: one request in 100 carries a key that its caller made up. */
  private static final double MADE_KEYS = 0.01 * REQUESTS;

  /** Assumption: a record that states one change instead of the whole text. */
  private static final double DELTA_BYTES = 300;

  private static final double BUDGET_BYTES = 28_000;
  private static final double LINK_IDLE_SECONDS = 60;
  private static final double TICKS = 200;
  private static final double SUMS_PER_SECOND = 5;
  private static final double NANOS = 1e9;
  private static final double MB = 1e6;
  private static final double KB = 1e3;

  private final JsonNode slopes;
  private final ImmutableMap.Builder<String, String> results = ImmutableMap.builder();

  private double payload;
  private double withHeaders;
  private double entryPayload;
  private double entryWithHeaders;

  private SlopeCapacity(JsonNode slopes) {
    this.slopes = slopes;
  }

  /** Returns the results, with their units, by name. */
  static ImmutableMap<String, String> of(JsonNode slopes) {
    SlopeCapacity capacity = new SlopeCapacity(slopes);
    capacity.entryMemory();
    capacity.entryMessages();
    capacity.entryTime();
    capacity.list();
    capacity.configuration();
    capacity.sidecar();
    capacity.log();
    capacity.losses();
    capacity.totals();
    return capacity.results.buildOrThrow();
  }

  private JsonNode row(String name) {
    return Stream.of("heap", "message", "time")
        .flatMap(group -> Streams.stream(slopes.path(group)))
        .filter(r -> r.path("name").asText().equals(name))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("no slope named " + name));
  }

  private double slope(String name) {
    return row(name).required("slope").asDouble();
  }

  private double line(String name, double size) {
    return row(name).required("intercept").asDouble() + size * slope(name);
  }

  /** Returns the cost measured at the largest size. */
  private double last(String name) {
    JsonNode costs = row(name).required("costs");
    return costs.get(costs.size() - 1).asDouble();
  }

  private void put(String name, double value, String unit) {
    String number = new BigDecimal(value).round(new MathContext(3)).toPlainString();
    boolean joined = unit.startsWith("%") || unit.startsWith("/");
    results.put(name, number + (joined ? "" : " ") + unit);
  }

  /** Puts a stream of messages, without and with headers. */
  private void messages(String name, double perSecond, double bytes) {
    payload += perSecond * bytes;
    withHeaders += perSecond * (bytes + HEADER);
    put(name + ": messages", perSecond, "/s");
    put(name + ": payload", perSecond * bytes / KB, "KB/s");
    put(name + ": with headers", perSecond * (bytes + HEADER) / KB, "KB/s");
  }

  private static double perEntry() {
    return REQUESTS / ENTRIES;
  }

  private static double openLinks() {
    double used = perEntry() * (LINK_IDLE_SECONDS + ANSWER_SECONDS) / UPSTREAMS_OF_REGION;
    return UPSTREAMS_OF_REGION * (1 - Math.exp(-used));
  }

  private void entryMemory() {
    double links = openLinks() + UPSTREAMS / ENTRIES;
    put("entry view, whole list", line("membership-view", UPSTREAMS + ENTRIES) / MB, "MB");
    double region = UPSTREAMS_OF_REGION + ENTRIES_OF_REGION;
    put("entry view, region only", line("membership-view", region) / MB, "MB");
    double tables = SERVICES * line("slot-router", 0) + UPSTREAMS_OF_REGION * slope("slot-router");
    put("entry routers, 10 services", tables / MB, "MB");
    double text = line("config-text", WORKSPACES);
    put("entry declaration and text", (line("declaration", WORKSPACES) + text) / MB, "MB");
    put("entry open links", links, "links");
    put("entry links", links * slope("idle-link") / 2 / MB, "MB");
    put("entry claim index", MADE_KEYS * DAY * slope("claim-index") / MB, "MB");
    put("keys/s whose index takes 64 MB", 64 * MB / DAY / slope("claim-index"), "/s");
  }

  private void entryMessages() {
    double sidecars = UPSTREAMS / ENTRIES;
    double changes = 2 * REQUESTS / UPSTREAMS;
    messages("entry reports", sidecars * changes, slope("load-report"));
    messages("entry replies", sidecars * changes, slope("load-reply"));
    double quiet = 2 * Math.exp(-changes / 2);
    messages("entry pings and pongs", 2 * sidecars * quiet, slope("ping"));
    double own = SERVICES * SUMS_PER_SECOND;
    double asAggregator = SERVICES / ENTRIES_OF_ZONE * (ENTRIES_OF_ZONE - 1) * SUMS_PER_SECOND;
    double zones = 2 * SERVICES / ENTRIES_OF_ZONE * OTHER_ZONES * SUMS_PER_SECOND;
    messages("entry load sums", 2 * own + 2 * asAggregator + zones, line("load-sums", 1));
    double unused =
        Math.exp(-perEntry() * (LINK_IDLE_SECONDS + ANSWER_SECONDS) / UPSTREAMS_OF_REGION);
    messages("entry hellos", 2 * perEntry() * unused, slope("hello"));
    messages("entry spill notices", 0.1 * perEntry() * 2, slope("spill-notice"));
    entryPayload = payload;
    entryWithHeaders = withHeaders;
    put("entry messages in all: payload", payload / KB, "KB/s");
    put("entry messages in all: with headers", withHeaders / KB, "KB/s");
  }

  private void entryTime() {
    put("entry decisions", 100 * perEntry() * last("decision") / NANOS, "% of a core");
    double reports = 2 * REQUESTS / ENTRIES;
    double taken = last("load-report-taken") + line("load-reply-made", UPSTREAMS / ENTRIES);
    put("entry reports and replies", 100 * reports * taken / NANOS, "% of a core");
    double tick = TICKS * SERVICES * last("load-tick");
    put("entry ticks, 10 services", 100 * tick / NANOS, "% of a core");
    double changed = 1_630 / REGIONS / DAY;
    double tables = changed * (last("slot-table-join") + last("slot-table-leave"));
    put("entry joins and leaves", 100 * tables / NANOS, "% of a core");
    put("entry claims", 100 * MADE_KEYS * slope("claim") / NANOS, "% of a core");
  }

  private void list() {
    double all = last("list-row");
    double parse = last("list-parse");
    put("whole list", all / MB, "MB");
    put("entry list reads", all / KB, "KB/s");
    put("entry list reads over the limit", all / BUDGET_BYTES, "times");
    put("entry list time", 100 * (parse + last("list-merge")) / NANOS, "% of a core");
    put("sidecar list time", 100 * parse / NANOS, "% of a core");
    put("platform list reads", (ENTRIES + UPSTREAMS) * all / NANOS, "GB/s");
    double region = UPSTREAMS_OF_REGION + ENTRIES_OF_REGION;
    put("list rows that fit 28 KB/s", BUDGET_BYTES / slope("list-row"), "rows");
    put("list of a region", region * slope("list-row") / KB, "KB");
    double rows = 2 * 1_630 / DAY * slope("list-row");
    put("changed rows of the fleet", rows, "bytes/s");
  }

  private void configuration() {
    double record = line("config-record", WORKSPACES);
    put("configuration text", line("config-text", WORKSPACES) / KB, "KB");
    put("configuration record", record / KB, "KB");
    put("entry configuration reads", CHANGES * record * BASE64 / KB, "KB/s");
    put("entry configuration time", 100 * CHANGES * last("config-adopt") / NANOS, "% of a core");
    put("largest record that fits 28 KB/s", BUDGET_BYTES / CHANGES / BASE64 / KB, "KB");
    double section = line("config-text", WORKSPACES / SERVICES);
    double push = slope("config-push") * section / KB;
    double receivers = UPSTREAMS / ENTRIES / SERVICES;
    put("entry configuration pushes", CHANGES * receivers * push / KB, "KB/s");
    put("sidecar configuration pushes", CHANGES / SERVICES * push / KB, "KB/s");
    put("entry configuration as deltas", CHANGES * (DELTA_BYTES * BASE64 + HEADER) / KB, "KB/s");
  }

  private void sidecar() {
    double requests = REQUESTS / UPSTREAMS;
    double changes = 2 * requests;
    messages("sidecar reports and replies", 2 * changes, slope("load-report"));
    double quiet = 2 * Math.exp(-changes / 2);
    messages("sidecar pings and pongs", 2 * quiet, slope("ping"));
    put("sidecar ledger", 600 * requests * slope("ledger-record") / MB, "MB");
    put("sidecar keys", MADE_KEYS / UPSTREAMS * DAY * slope("ledger-key") / MB, "MB");
    put("sidecar home directory", CHATS / UPSTREAMS * slope("home-directory-spilled") / MB, "MB");
    put("sidecar answers", 120 * requests * slope("retained-answer") / MB, "MB");
    put("sidecar section", line("declaration", WORKSPACES / SERVICES) / MB, "MB");
    double request = slope("ledger-submit-finish") * requests;
    put("sidecar ledger time", 100 * request / NANOS, "% of a core");
  }

  private void log() {
    put("log appends, configuration", CHANGES, "/s");
    put("log appends, snapshots", 35 / DAY, "/s");
    put("log appends, claims today", MADE_KEYS, "/s");
    put("log appends, claims at most today", ENTRIES * 10, "/s");
    put("log appends, claims in 16 streams", 160, "/s");
    put("log appends, quarantine", 2 * 130 / DAY, "/s");
    put("log appends, orders", 1_630 / DAY, "/s");
    put("log reads, claims today", MADE_KEYS * ENTRIES, "/s");
    put("log reads, quarantine", UPSTREAMS / 30, "/s");
    put("log reads, leases", UPSTREAMS / 4, "/s");
    put("entry claim reads", MADE_KEYS * slope("claim-record") * BASE64 / KB, "KB/s");
  }

  private void losses() {
    double left = UPSTREAMS_OF_REGION - UPSTREAMS_OF_ZONE;
    put(
        "zone lost: tables at once",
        SERVICES * row("slot-table-zone").required("costs").get(0).asDouble() / NANOS,
        "s");
    double oneByOne = row("slot-table-leave").required("costs").get(0).asDouble();
    put("zone lost: tables one by one", UPSTREAMS_OF_ZONE * oneByOne / NANOS, "s");
    double perRegion = REQUESTS / REGIONS;
    put(
        "zone lost: in flight per engine before",
        perRegion / UPSTREAMS_OF_REGION * ANSWER_SECONDS,
        "requests");
    put("zone lost: in flight per engine", perRegion / left * ANSWER_SECONDS, "requests");
    put("zone lost: requests per entry", perRegion / (ENTRIES_OF_REGION - ENTRIES_OF_ZONE), "/s");
    put(
        "zone lost: chats with a new home",
        CHATS / REGIONS * UPSTREAMS_OF_ZONE / UPSTREAMS_OF_REGION,
        "chats");
    double missed = 3_600 * CHANGES;
    double whole = missed * line("config-record", WORKSPACES) * BASE64;
    put("hour parted: records missed", missed, "records");
    put("hour parted: configuration", whole / MB, "MB");
    put("hour parted: time to adopt", missed * last("config-adopt") / NANOS, "s");
    put("hour parted: time to read at 28 KB/s", whole / BUDGET_BYTES, "s");
    put("hour parted: as deltas at 28 KB/s", missed * DELTA_BYTES * BASE64 / BUDGET_BYTES, "s");
    double claims = 3_600 * MADE_KEYS * slope("claim-record") * BASE64;
    put("hour parted: claims", claims / MB, "MB");
  }

  /** Puts the sums over an entry, as parts of the limits. */
  private void totals() {
    double state =
        line("membership-view", UPSTREAMS + ENTRIES)
            + SERVICES * line("slot-router", 0)
            + UPSTREAMS_OF_REGION * slope("slot-router")
            + line("declaration", WORKSPACES)
            + line("config-text", WORKSPACES)
            + (openLinks() + UPSTREAMS / ENTRIES) * slope("idle-link") / 2;
    put("entry memory without claims, of 256 MB", 100 * state / (256 * MB), "%");
    double nanos =
        TICKS * SERVICES * last("load-tick")
            + last("list-parse")
            + last("list-merge")
            + CHANGES * last("config-adopt");
    put("entry ticks, list and configuration, of 3.1%", 100 * nanos / (0.031 * NANOS), "%");
    double reads =
        last("list-row") + CHANGES * line("config-record", WORKSPACES) * BASE64 + entryPayload;
    put("entry list, configuration and messages, of 28 KB/s", 100 * reads / BUDGET_BYTES, "%");
    put("entry messages, of 28 KB/s", 100 * entryPayload / BUDGET_BYTES, "%");
    put("entry messages with headers, of 28 KB/s", 100 * entryWithHeaders / BUDGET_BYTES, "%");
  }
}
