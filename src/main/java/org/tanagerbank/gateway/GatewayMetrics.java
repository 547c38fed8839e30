package org.tanagerbank.gateway;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import org.tanagerbank.caller.CallerExchange;
import org.tanagerbank.caller.CallerHandler;
import org.tanagerbank.caller.CallerRequest;
import org.tanagerbank.dispatch.ConfigState;
import org.tanagerbank.dispatch.DispatchObserver;
import org.tanagerbank.dispatch.Dispatcher;
import org.tanagerbank.dispatch.EvacuatedZones;
import org.tanagerbank.dispatch.SharedUpstreamState;
import org.tanagerbank.events.MetricsText;
import org.tanagerbank.peer.PeerService;
import org.tanagerbank.peer.PeerTraffic;
import org.tanagerbank.route.RoutingConfig;
import org.tanagerbank.store.TopicPosition;
import org.tanagerbank.store.TopicSource;

/**
 * The Prometheus metrics of a gateway. Every label takes only a few values, so that the number of
 * time series stays small. Thread-safe.
 */
final class GatewayMetrics implements DispatchObserver, CallerHandler {
  private static final int STATUS_OK = 200;
  private static final double MILLIS_PER_SECOND = 1_000;

  /** The priority from which requests are counted together, so that a label has few values. */
  private static final int LEAST_URGENT_LABEL = 9;

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter requests =
      Counter.builder()
          .name("tanagerbank_gateway_requests_total")
          .help("Requests that were sent to upstreams and ended, by status; 0 for broken off.")
          .labelNames("status")
          .register(registry);
  private final Counter rejected =
      Counter.builder()
          .name("tanagerbank_gateway_rejected_total")
          .help("Requests that the gateway answered itself, by status and reason.")
          .labelNames("status", "reason")
          .register(registry);
  private final Counter notAdmitted =
      Counter.builder()
          .name("tanagerbank_gateway_not_admitted_total")
          .help("Requests refused for lack of room, by service, priority and reason.")
          .labelNames("service", "priority", "reason")
          .register(registry);
  private final Counter failedAttempts =
      Counter.builder()
          .name("tanagerbank_gateway_failed_attempts_total")
          .help("Attempts without an answer that could be passed on, by verdict.")
          .labelNames("verdict")
          .register(registry);
  private final Counter failureEvidence =
      Counter.builder()
          .name("tanagerbank_gateway_failure_evidence_total")
          .help(
              "Responses skipped and attempts failed after a send, by what the response head said.")
          .labelNames("id", "not_run_marker", "signature")
          .register(registry);
  private final Counter connectionEnds =
      Counter.builder()
          .name("tanagerbank_gateway_responses_ended_with_connection_total")
          .help(
              "Responses without a length or chunks, by what became of the upstream at their end.")
          .labelNames("upstream_state")
          .register(registry);
  private final Histogram requestSeconds =
      Histogram.builder()
          .name("tanagerbank_gateway_request_seconds")
          .help("Time from the whole request to the end of its answer.")
          .classicOnly()
          .classicUpperBounds(0.01, 0.03, 0.1, 0.3, 1, 3, 10)
          .register(registry);
  private final Histogram firstTokenRatio =
      Histogram.builder()
          .name("tanagerbank_gateway_first_token_ratio")
          .help("Actual time to the first token, as a multiple of the expected time.")
          .classicOnly()
          .classicUpperBounds(0.5, 0.8, 1.25, 2, 4, 8)
          .register(registry);

  @Override
  public void requestEnded(int status, long millis) {
    requests.labelValues(Integer.toString(status)).inc();
    requestSeconds.observe(millis / MILLIS_PER_SECOND);
  }

  @Override
  public void requestRejected(int status, String reason) {
    rejected.labelValues(Integer.toString(status), reason).inc();
  }

  @Override
  public void requestNotAdmitted(String service, int priority, String reason) {
    int label = Math.max(0, Math.min(LEAST_URGENT_LABEL, priority));
    notAdmitted.labelValues(service, Integer.toString(label), reason).inc();
  }

  @Override
  public void attemptFailed(String verdict) {
    failedAttempts.labelValues(verdict).inc();
  }

  @Override
  public void responseObserved(String responseId, boolean hasNotRunMarker, boolean hasSignature) {
    failureEvidence
        .labelValues(responseId, Boolean.toString(hasNotRunMarker), Boolean.toString(hasSignature))
        .inc();
  }

  @Override
  public void responseEndedWithConnection(String upstreamState) {
    connectionEnds.labelValues(upstreamState).inc();
  }

  @Override
  public void firstTokenReceived(double ratio) {
    firstTokenRatio.observe(ratio);
  }

  /** Adds a gauge whose value is read each time the metrics are exported. */
  private void addGauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name("tanagerbank_gateway_" + name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  /** Adds the gauges of what is known of the store. */
  void addStoreGauges(ConfigState config, TopicSource configTopic, LongSupplier clockMillis) {
    addGauge(
        "config_age_seconds",
        "Time since the configuration was last known to be the newest.",
        () -> config.ageMillis(clockMillis.getAsLong()) / MILLIS_PER_SECOND);
    addGauge(
        "config_version",
        "Version of the configuration in force.",
        () -> config.config().map(RoutingConfig::version).orElse(0L));
    addGauge(
        "store_era",
        "Era of the store in which the configuration was read, which grows with each restore.",
        () -> configTopic.position().map(TopicPosition::era).orElse(0L));
  }

  /** Adds the gauges of the other gateways. */
  void addPeerGauges(PeerService peers) {
    PeerTraffic traffic = peers.traffic();
    addGauge("peers", "Other gateways that are heard of.", () -> peers.livePeers().size());
    addGauge("peer_datagrams_sent", "Datagrams sent to other gateways.", traffic::datagramsSent);
    addGauge(
        "peer_bytes_sent", "Bytes of the datagrams sent to other gateways.", traffic::bytesSent);
    addGauge("peer_datagrams_received", "Datagrams received.", traffic::datagramsReceived);
    addGauge(
        "peer_datagrams_unreadable",
        "Datagrams received that are no message of a gateway.",
        traffic::datagramsUnreadable);
    addGauge(
        "peer_datagrams_too_large",
        "Messages that were not sent because they do not fit a datagram.",
        traffic::datagramsTooLarge);
  }

  /** Adds the gauges of the upstreams and of the requests. */
  void addDispatchGauges(Dispatcher dispatcher, DoubleSupplier requestsInFlight) {
    SharedUpstreamState upstreams = dispatcher.sharedUpstreamState();
    addGauge("engines", "Engines that the gateway knows.", () -> upstreams.engineIds().size());
    addGauge(
        "paused_upstreams",
        "Upstreams that have asked this gateway for a pause that is not over.",
        upstreams::pausedUpstreams);
    addGauge(
        "limited_upstreams",
        "Upstreams that have named a limit on the requests that they take.",
        upstreams::limitedUpstreams);
    addGauge(
        "cold_upstreams",
        "Upstreams that are cold or count as cold, of services that bound what these get.",
        upstreams::coldUpstreams);
    addGauge(
        "slowest_upstream_ratio",
        "Longest learned time of a request at an upstream, relative to the mean of its service.",
        upstreams::slowestUpstreamRatio);
    addGauge(
        "requests_taken_well",
        "Requests in flight that all upstreams together were found to take well.",
        upstreams::requestsTakenWell);
    addGauge(
        "restricted_requests",
        "Requests and parts of prompts that crashed upstreams and may not run freely.",
        () -> dispatcher.crashGuard().restrictedSuspects().size());
    addGauge("requests_in_flight", "Requests being handled.", requestsInFlight);
    addZoneGauges(upstreams.evacuatedZones());
  }

  /** Adds the gauges of the zones that are evacuated. */
  private void addZoneGauges(EvacuatedZones zones) {
    addGauge(
        "evacuated_zones",
        "Zones to whose upstreams nothing is sent by order of the operator.",
        () -> zones.inFlightByZone().size());
    GaugeWithCallback.builder()
        .name("tanagerbank_gateway_evacuated_zone_requests_in_flight")
        .help("Requests that began before the order and are in flight in an evacuated zone.")
        .labelNames("zone")
        .callback(callback -> zones.inFlightByZone().forEach((zone, n) -> callback.call(n, zone)))
        .register(registry);
  }

  /** Answers with all metrics in the Prometheus text format. */
  @Override
  public void handle(CallerRequest request, CallerExchange exchange) {
    request.body().release();
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(HttpHeaderNames.CONTENT_TYPE, MetricsText.CONTENT_TYPE);
    exchange.respond(STATUS_OK, headers, Unpooled.wrappedBuffer(MetricsText.format(registry)));
  }
}
