package org.tanagerbank.dispatch;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import org.tanagerbank.peer.DigestSchedule;
import org.tanagerbank.peer.OriginExchange;
import org.tanagerbank.peer.PeerAddress;
import org.tanagerbank.peer.PeerMessage;
import org.tanagerbank.platform.PlatformHeaderCodec;
import org.tanagerbank.quarantine.SuspectRecord;
import org.tanagerbank.quarantine.TrialClaim;
import org.tanagerbank.route.RoutingConfig;
import org.tanagerbank.stream.VersionsSeen;

/**
 * Dispatchers of several gateways before upstreams in memory, in simulated time. Uses no network
 * and no real time. Not thread-safe.
 */
final class DispatchSimulation {
  /** The time without interruption after which the bounds of the platform hold for a gateway. */
  private static final long STABLE_MILLIS = 3_000;

  /** The interval at which gateways close connections and notice their pauses. */
  private static final long TICK_MILLIS = 250;

  private static final long STORE_ANSWER_MILLIS = 4;
  static final long ROUTE_TIMEOUT_MILLIS = 4_000;

  /** A gateway, which is replaced by a new one when it restarts. */
  private final class SimulatedGateway {
    private final DigestSchedule schedule = new DigestSchedule();
    private long nextDigestMillis;
    private long interruptedAtMillis = nowMillis;
    private boolean isUrgentDigestPending;
    private boolean isPaused;
    private boolean isCutOff;
    private boolean isStoreCutOff;
    private final EmbeddedChannel clock = new EmbeddedChannel();
    private final ConfigState config = new ConfigState(5_000, 2_000);
    private final Dispatcher dispatcher;
    private final OriginExchange origins;
    private long ranUntilMillis = nowMillis;

    private SimulatedGateway(int index) {
      nextDigestMillis = nowMillis + 7L * index;
      clock.freezeTime();
      DispatchRuntime runtime =
          new DispatchRuntime(
              clock.eventLoop(),
              (address, handlers) -> connect(this, index, address.getPort(), handlers),
              () -> nowMillis,
              () -> nowMillis,
              () -> nowMillis,
              new SplittableRandom(index));
      dispatcher =
          Dispatcher.create(
              runtime,
              new PlatformHeaderCodec(),
              config,
              SimulationRoutes.settings("g" + index),
              new SilentObserver());
      config.adopt(SimulationRoutes.config(ROUTE_TIMEOUT_MILLIS));
      config.confirmCurrentAsOf(nowMillis);
      dispatcher.updateUpstreams(reports.known());
      dispatcher.setUpstreamsRefresh(this::readStore);
      dispatcher.upstreamVersions().setReader(this::readVersions);
      dispatcher.crashGuard().setUrgentNewsAction(() -> tellUrgently(index));
      origins =
          new OriginExchange(
              nowMillis,
              dispatcher.streamOrigins(),
              (task, delayMillis) -> laterOnLoop(delayMillis, task),
              () -> othersOf(index),
              (to, message) -> sendOriginMessage(index, to.getPort() - 1, message));
      dispatcher.streamOrigins().setNetwork(origins);
    }

    private void laterOnLoop(long delayMillis, Runnable task) {
      var unused = clock.eventLoop().schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Reads what upstreams have written until now, if the store is in reach. */
    private void readStore() {
      long sentAt = nowMillis;
      laterOnLoop(
          STORE_ANSWER_MILLIS,
          () -> {
            if (!isStoreCutOff) {
              dispatcher.updateUpstreams(reports.current());
              dispatcher.confirmUpstreamsAsOf(sentAt);
            }
          });
    }

    private void readVersions(Consumer<Optional<VersionsSeen>> callback) {
      laterOnLoop(
          STORE_ANSWER_MILLIS,
          () ->
              callback.accept(
                  isStoreCutOff ? Optional.empty() : Optional.of(reports.versionsSeen(nowMillis))));
    }

    private void readReports() {
      if (!isPaused && !isStoreCutOff) {
        dispatcher.updateUpstreams(reports.known());
        dispatcher.confirmUpstreamsAsOf(nowMillis - SimulatedReports.LAG_MILLIS);
      }
    }

    private void run() {
      if (isPaused) {
        return;
      }
      config.confirmCurrentAsOf(nowMillis);
      if (nowMillis % TICK_MILLIS == 0) {
        readReports();
        dispatcher.sharedUpstreamState().evacuatedZones().tick();
        dispatcher.tick();
      }
      clock.advanceTimeBy(nowMillis - ranUntilMillis, TimeUnit.MILLISECONDS);
      ranUntilMillis = nowMillis;
      clock.runPendingTasks();
    }
  }

  final List<SimulatedUpstream.Run> runs = new ArrayList<>();
  private final List<SimulatedUpstream> upstreams = new ArrayList<>();
  private final List<SimulatedGateway> gateways = new ArrayList<>();
  private final List<Call> calls = new ArrayList<>();
  private final SimulatedReports reports;
  private long nowMillis = 1_000;
  private int lastCallNumber;
  private final SimulatedNetwork<SimulatedGateway> network = new SimulatedNetwork<>();

  DispatchSimulation(int gatewayCount, int upstreamCount, boolean upstreamsKeepIds) {
    this(gatewayCount, upstreamCount, upstreamsKeepIds, i -> "v1");
  }

  /**
   * Starts a fleet.
   *
   * @param versions returns the software version of each upstream
   */
  DispatchSimulation(
      int gatewayCount, int upstreamCount, boolean upstreamsKeepIds, IntFunction<String> versions) {
    for (int i = 0; i < upstreamCount; i++) {
      upstreams.add(
          new SimulatedUpstream(
              "u" + i,
              versions.apply(i),
              i + 1,
              upstreamsKeepIds,
              runs,
              this::isInTouch,
              g -> gateways.get(g).interruptedAtMillis));
    }
    reports = new SimulatedReports(upstreams);
    IntStream.range(0, gatewayCount).forEach(i -> gateways.add(new SimulatedGateway(i)));
  }

  /** Connects a gateway to an upstream, unless it has ended and another one is in its place. */
  private ChannelFuture connect(
      SimulatedGateway from, int index, int port, ChannelHandler... handlers) {
    boolean hasEnded = index < gateways.size() && gateways.get(index) != from;
    return hasEnded
        ? new EmbeddedChannel().newFailedFuture(new ConnectException("the gateway has ended"))
        : upstreams.get(port - 1).connect(index, handlers);
  }

  long nowMillis() {
    return nowMillis;
  }

  /** Sets the time for which the store keeps reports of upstreams; it keeps none at first. */
  void setStoreHistoryMillis(long millis) {
    reports.setHistoryMillis(millis);
  }

  List<SimulatedUpstream> upstreams() {
    return upstreams;
  }

  List<Call> calls() {
    return calls;
  }

  /** Returns the requests that upstreams began to run. */
  List<SimulatedUpstream.Run> runs() {
    return runs;
  }

  /** Returns the deadly requests that upstreams began to run. */
  List<SimulatedUpstream.Run> deadlyRuns() {
    return runs.stream().filter(SimulatedUpstream.Run::isDeadly).toList();
  }

  /** Sends a request under a new id to a gateway. */
  Call send(int gateway, String path, String body) {
    return sendWithId(gateway, path, body, "r" + ++lastCallNumber);
  }

  /** Sends a request to a gateway; an empty id sends none. */
  Call sendWithId(int gateway, String path, String body, String id) {
    return sendWithHeaders(gateway, path, body, id, ImmutableMap.of());
  }

  /** Sends a request under a new id with a prompt; its last part is its own. */
  Call sendPrompt(int gateway, String path, String body, SimulatedPrompt prompt) {
    return sendWithHeaders(gateway, path, body, "r" + ++lastCallNumber, prompt.headers());
  }

  /** Takes up a stream at a gateway, after the last event that the caller received. */
  Call takeUp(int gateway, Call interrupted, String firstId) {
    ImmutableList<String> ids = interrupted.eventFields("id");
    return takeUp(gateway, interrupted, firstId, ids.get(ids.size() - 1));
  }

  Call takeUp(int gateway, Call interrupted, String firstId, String lastEventId) {
    return sendWithHeaders(
        gateway,
        interrupted.path,
        interrupted.body,
        "r" + ++lastCallNumber,
        ImmutableMap.of("Resumes", firstId, "Last-Event-Id", lastEventId));
  }

  private Call sendWithHeaders(
      int gateway, String path, String body, String id, ImmutableMap<String, String> extra) {
    Call call = new Call(gateway, id, path, body, nowMillis);
    calls.add(call);
    gateways.get(gateway).dispatcher.handle(call.toRequest(extra), call);
    return call;
  }

  /** Sets the share of the messages between gateways that are lost. */
  void setLossShare(double share) {
    network.setLossShare(share);
  }

  /** Stops a gateway for a time; what comes to it meanwhile waits. */
  void setPaused(int gateway, boolean isPaused) {
    gateways.get(gateway).interruptedAtMillis = nowMillis;
    gateways.get(gateway).isPaused = isPaused;
  }

  /** Cuts a gateway off from the others; it still reaches the upstreams. */
  void setCutOff(int gateway, boolean isCutOff) {
    gateways.get(gateway).interruptedAtMillis = nowMillis;
    gateways.get(gateway).isCutOff = isCutOff;
  }

  /** Cuts a gateway off from the store, so that it learns of no upstreams. */
  void setStoreCutOff(int gateway, boolean isCutOff) {
    gateways.get(gateway).interruptedAtMillis = nowMillis;
    gateways.get(gateway).isStoreCutOff = isCutOff;
  }

  /** Ends a gateway and starts it again without memory. */
  void restart(int gateway) {
    gateways.set(gateway, new SimulatedGateway(gateway));
    upstreams.forEach(u -> u.disconnect(gateway));
  }

  /** Lets all gateways adopt a newer configuration. */
  void adopt(RoutingConfig config) {
    gateways.forEach(g -> g.config.adopt(config));
    gateways.forEach(SimulatedGateway::readReports);
  }

  Dispatcher dispatcher(int gateway) {
    return gateways.get(gateway).dispatcher;
  }

  /** Returns whether a gateway was not interrupted or cut off lately. */
  boolean isInTouch(int gateway) {
    SimulatedGateway asked = gateways.get(gateway);
    return !asked.isPaused
        && !asked.isCutOff
        && nowMillis - asked.interruptedAtMillis > STABLE_MILLIS;
  }

  /** Adds a gateway. */
  void addGateway() {
    gateways.add(new SimulatedGateway(gateways.size()));
  }

  /** Returns the number of upstreams with a software version that are up and known. */
  long serving(String version) {
    return reports.known().stream()
        .filter(r -> r.softwareVersion().equals(version) && reports.current().contains(r))
        .count();
  }

  int gatewayCount() {
    return gateways.size();
  }

  private ImmutableList<PeerAddress> othersOf(int gateway) {
    return IntStream.range(0, gateways.size())
        .filter(i -> i != gateway)
        .mapToObj(i -> new PeerAddress("g" + i, addressOf(i), 1))
        .collect(ImmutableList.toImmutableList());
  }

  private static InetSocketAddress addressOf(int gateway) {
    return InetSocketAddress.createUnresolved("gateway", gateway + 1);
  }

  private void sendOriginMessage(int from, int to, PeerMessage message) {
    deliverLater(from, to, g -> g.origins.onMessage(addressOf(from), message));
  }

  private void deliverLater(int from, int to, Consumer<SimulatedGateway> action) {
    network.send(from, to, action, nowMillis);
  }

  private void deliver(SimulatedNetwork.Message<SimulatedGateway> due) {
    SimulatedGateway to = gateways.get(due.to());
    if (!to.isPaused && !to.isCutOff && !gateways.get(due.from()).isCutOff) {
      due.action().accept(to);
    }
  }

  private void tellUrgently(int from) {
    SimulatedGateway gateway = gateways.get(from);
    if (!gateway.isUrgentDigestPending) {
      gateway.isUrgentDigestPending = true;
      gateway.laterOnLoop(
          gateway.schedule.urgentDelayMillis(nowMillis),
          () -> {
            gateway.isUrgentDigestPending = false;
            tellOthers(from);
          });
    }
  }

  private void tellOthers(int from) {
    gateways.get(from).schedule.recordSent(nowMillis);
    SharedUpstreamState state = gateways.get(from).dispatcher.sharedUpstreamState();
    ImmutableMap<String, Integer> inFlight = state.inFlight();
    ImmutableList<SuspectRecord> suspects = state.nextSuspects();
    ImmutableList<TrialClaim> claims = state.trialClaims();
    String sender = "g" + from;
    for (int to = 0; to < gateways.size(); to++) {
      if (to != from) {
        deliverLater(
            from,
            to,
            g -> {
              SharedUpstreamState other = g.dispatcher.sharedUpstreamState();
              other.onPeerInFlight(sender, inFlight);
              other.onPeerTrialClaims(sender, claims);
              other.onPeerSuspects(suspects);
            });
      }
    }
  }

  private void exchange() {
    for (int i = 0; i < gateways.size(); i++) {
      SimulatedGateway gateway = gateways.get(i);
      if (nowMillis >= gateway.nextDigestMillis && !gateway.isPaused) {
        gateway.nextDigestMillis = nowMillis + DigestSchedule.intervalMillis(gateways.size() - 1);
        tellOthers(i);
      }
    }
    network.arriving(nowMillis).forEach(this::deliver);
  }

  /** Lets time pass until a gateway has just sent a regular digest. */
  void advanceUntilDigestOf(int gateway) {
    long due = gateways.get(gateway).nextDigestMillis;
    advance(due - nowMillis);
  }

  /** Lets time pass in steps of one millisecond. */
  void advance(long millis) {
    for (long end = nowMillis + millis; nowMillis < end; ) {
      nowMillis++;
      upstreams.forEach(u -> u.step(nowMillis));
      reports.advance(nowMillis, () -> gateways.forEach(SimulatedGateway::readReports));
      exchange();
      gateways.forEach(SimulatedGateway::run);
    }
  }
}
