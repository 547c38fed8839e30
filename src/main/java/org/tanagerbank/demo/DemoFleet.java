package org.tanagerbank.demo;

import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Lists;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.stream.Stream;
import org.tanagerbank.config.ConfigPublisher;
import org.tanagerbank.config.PublishResult;
import org.tanagerbank.configreplica.ConfigRecord.Publish;
import org.tanagerbank.entry.Entry;
import org.tanagerbank.entry.EntrySettings;
import org.tanagerbank.http.AsyncHttpClient;
import org.tanagerbank.instance.InstanceInfo;
import org.tanagerbank.instance.InstanceKind;
import org.tanagerbank.instance.InstanceState;
import org.tanagerbank.instance.Zone;
import org.tanagerbank.platformclient.HttpInstanceList;
import org.tanagerbank.platformclient.HttpLogService;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.Lifecycle;
import org.tanagerbank.request.TanagerException;
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
 * A complete deployment on loopback in one process: stand-ins, sidecars and entries.
 *
 * <p>Not thread-safe. One thread must start and stop it.
 */
final class DemoFleet implements Lifecycle {
  private static final long CONNECT_TIMEOUT_MILLIS = 2_000;
  private static final long PLATFORM_TIMEOUT_MILLIS = 5_000;
  private static final long INSTANCE_LIST_LAG_MILLIS = 200;
  private static final long PLAIN_DELAY_MILLIS = 5;

  /**
   * The size of an engine's prefix cache. It is too small for all chats of the demo, so that the
   * choice of the engine affects cache reuse.
   */
  private static final int CACHE_TOKENS = 65_536;

  private final Deployment deployment;
  private final long incarnation = System.currentTimeMillis();
  private final AsyncHttpClient httpClient = AsyncHttpClient.create(CONNECT_TIMEOUT_MILLIS);
  private final LogStandin log = LogStandin.create(anyPort(), LogSettings.defaults());
  private final InstanceListStandin instanceList =
      InstanceListStandin.create(anyPort(), INSTANCE_LIST_LAG_MILLIS, 0);
  private final List<Lifecycle> started = new ArrayList<>();
  private final List<Sidecar> engineSidecars = new ArrayList<>();
  private final List<Sidecar> plainSidecars = new ArrayList<>();
  private final List<Entry> entries = new ArrayList<>();

  DemoFleet(Deployment deployment) {
    this.deployment = deployment;
  }

  @Override
  public void start() {
    startComponent(httpClient);
    startComponent(log);
    startComponent(instanceList);
    publishDeclaration();
    startService(deployment.engineService(), deployment.engineCount(), true);
    startService(deployment.plainService(), deployment.plainInstanceCount(), false);
    deployment.zones().forEach(this::startEntry);
  }

  /**
   * Stops all components in the reverse order of their start, as a platform would: first the
   * entries, then each sidecar before its upstream, and the stand-ins of the platform last.
   */
  @Override
  public void stop() {
    Lists.reverse(started).forEach(Lifecycle::stop);
  }

  AsyncHttpClient httpClient() {
    return httpClient;
  }

  ImmutableList<Sidecar> engineSidecars() {
    return ImmutableList.copyOf(engineSidecars);
  }

  ImmutableList<Entry> entries() {
    return ImmutableList.copyOf(entries);
  }

  ImmutableList<InetSocketAddress> entryAddresses() {
    return entries.stream().map(Entry::httpAddress).collect(ImmutableList.toImmutableList());
  }

  /** Returns the addresses at which entries and sidecars serve health checks. */
  ImmutableList<InetSocketAddress> httpAddresses() {
    return Stream.concat(
            entries.stream().map(Entry::httpAddress),
            Stream.of(engineSidecars, plainSidecars)
                .flatMap(List::stream)
                .map(Sidecar::httpAddress))
        .collect(ImmutableList.toImmutableList());
  }

  private void publishDeclaration() {
    HttpLogService client =
        HttpLogService.create(httpClient, log.address(), PLATFORM_TIMEOUT_MILLIS);
    ConfigPublisher publisher = new ConfigPublisher(client, PLATFORM_TIMEOUT_MILLIS);
    Publish publish =
        new Publish(UUID.randomUUID().toString(), 0, "demo", deployment.declaration());
    try {
      PublishResult result = publisher.publish(publish);
      if (!(result instanceof PublishResult.Accepted)) {
        throw TanagerException.notRun(ErrorCode.INVALID_DECLARATION, result.toString());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw TanagerException.failure(ErrorCode.CANCELLED, "interrupted while publishing", e);
    }
  }

  private void startService(String service, int count, boolean engine) {
    for (int i = 0; i < count; i++) {
      Zone zone = deployment.zones().get(i % deployment.zones().size());
      Standin upstream =
          engine
              ? EngineStandin.create(anyPort(), EngineSettings.defaults().cacheTokens(CACHE_TOKENS))
              : PlainStandin.create(anyPort(), PLAIN_DELAY_MILLIS);
      startComponent(upstream);
      String id = Joiner.on('-').join(service, i);
      Sidecar sidecar = Sidecar.create(sidecarSettings(id, service, zone, upstream));
      startComponent(sidecar);
      (engine ? engineSidecars : plainSidecars).add(sidecar);
      instanceList.register(
          liveInstance(
              id,
              InstanceKind.SIDECAR,
              service,
              zone,
              sidecar.linkAddress(),
              sidecar.httpAddress()));
    }
  }

  private SidecarSettings sidecarSettings(String id, String service, Zone zone, Standin upstream) {
    return new SidecarSettings(
        id,
        incarnation,
        service,
        zone,
        anyPort(),
        anyPort(),
        upstream.address(),
        log.address(),
        instanceList.address(),
        0);
  }

  private void startEntry(Zone zone) {
    String id = "entry-" + zone.name();
    EntrySettings settings =
        new EntrySettings(
            id, zone, incarnation, anyPort(), anyPort(), EntrySettings.MAX_BODY_BYTES, 0);
    Entry entry =
        Entry.create(
            settings,
            HttpInstanceList.create(httpClient, instanceList.address(), PLATFORM_TIMEOUT_MILLIS),
            HttpLogService.create(httpClient, log.address(), PLATFORM_TIMEOUT_MILLIS));
    startComponent(entry);
    entries.add(entry);
    instanceList.register(
        liveInstance(id, InstanceKind.ENTRY, "", zone, entry.linkAddress(), entry.httpAddress()));
  }

  private InstanceInfo liveInstance(
      String id,
      InstanceKind kind,
      String service,
      Zone zone,
      InetSocketAddress link,
      InetSocketAddress http) {
    return new InstanceInfo(id, kind, service, zone, link, http, incarnation, InstanceState.LIVE);
  }

  private void startComponent(Lifecycle component) {
    component.start();
    started.add(component);
  }

  private static InetSocketAddress anyPort() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  }
}
