package org.tanagerbank.sidecar;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.tanagerbank.instance.Zone;
import org.tanagerbank.link.LinkClient;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.proto.LinkProto.Submit;
import org.tanagerbank.request.Fingerprint;
import org.tanagerbank.standin.EngineSettings;
import org.tanagerbank.standin.EngineStandin;
import org.tanagerbank.standin.InstanceListStandin;
import org.tanagerbank.standin.LogSettings;
import org.tanagerbank.standin.LogStandin;
import org.tanagerbank.standin.Standin;

/** A running sidecar with stand-ins for the upstream and the platform, all on loopback. */
final class SidecarFixture implements AutoCloseable {
  static final long INCARNATION = 5;
  static final String DECLARATION =
      """
      services:
        model-pool:
          kind: engine
          models: [draft-1]
        register-app:
          kind: plain
      """;

  private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);

  final EngineStandin engine;
  final LogStandin log = LogStandin.create(ANY_PORT, LogSettings.defaults());
  final InstanceListStandin instances = InstanceListStandin.create(ANY_PORT, 0, 0);
  final Sidecar sidecar;
  final LinkClient client = LinkClient.create();
  private final List<Standin> standins = new ArrayList<>();
  private long sequence;

  SidecarFixture(EngineSettings settings) {
    this(EngineStandin.create(ANY_PORT, settings), "model-pool");
  }

  SidecarFixture(Standin upstream, String service) {
    this(upstream, service, 0);
  }

  /** Starts the stand-in of an upstream, which must not be running yet, and a sidecar for it. */
  SidecarFixture(Standin upstream, String service, long drainLimitMillis) {
    engine = upstream instanceof EngineStandin e ? e : null;
    standins.addAll(List.of(upstream, log, instances));
    standins.forEach(Standin::start);
    client.start();
    sidecar =
        Sidecar.create(
            new SidecarSettings(
                "up-1",
                INCARNATION,
                service,
                new Zone("zone-a", "region"),
                ANY_PORT,
                ANY_PORT,
                upstream.address(),
                log.address(),
                instances.address(),
                drainLimitMillis));
    sidecar.start();
  }

  /** Opens a link to the sidecar, which stays without a configuration. */
  FakeEntry entry() {
    return new FakeEntry(client, sidecar.linkAddress());
  }

  /** Opens a link to the sidecar, pushes the declaration, and waits until requests are admitted. */
  FakeEntry servingEntry() {
    FakeEntry entry = entry();
    entry.pushConfig(1, DECLARATION);
    awaitAccepting(entry);
    return entry;
  }

  /** Submits requests until one is not refused. */
  void awaitAccepting(FakeEntry entry) {
    Frame outcome;
    do {
      Submit.Builder probe = chat("probe", 1, false);
      entry.submit(probe);
      outcome = entry.outcome(probe.getRequest(), 1);
    } while (outcome.hasRefused());
  }

  /** Returns the Submit of a chat under a new request id. */
  Submit.Builder chat(String text, int tokens, boolean streamed) {
    String body =
        "{\"model\":\"draft-1\",\"stream\":"
            + streamed
            + ",\"max_tokens\":"
            + tokens
            + ",\"messages\":[{\"role\":\"user\",\"content\":\""
            + text
            + "\"}]}";
    return submit("model-pool", body).setStreamed(streamed).setModel("draft-1");
  }

  /** Returns a Submit under a new request id. */
  Submit.Builder submit(String service, String body) {
    sequence++;
    ByteString bytes = ByteString.copyFromUtf8(body);
    return Submit.newBuilder()
        .setRequest(FakeEntry.ref(sequence))
        .setAttempt(1)
        .setIncarnation(INCARNATION)
        .setService(service)
        .setWorkspace("w")
        .setIgnoreHint(true)
        .setCreditBytes(1 << 20)
        .setFingerprint(Fingerprint.of(service, bytes.toByteArray()).value())
        .setBody(bytes);
  }

  @Override
  public void close() {
    sidecar.stop();
    client.stop();
    standins.forEach(Standin::stop);
  }
}
