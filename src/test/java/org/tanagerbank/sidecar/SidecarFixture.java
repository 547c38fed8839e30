package org.tanagerbank.sidecar;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.tanagerbank.contract.Fingerprint;
import org.tanagerbank.link.LinkClient;
import org.tanagerbank.machine.Zone;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.proto.LinkProto.Submit;
import org.tanagerbank.standin.EngineSettings;
import org.tanagerbank.standin.EngineStandin;
import org.tanagerbank.standin.InstanceListStandin;
import org.tanagerbank.standin.LogSettings;
import org.tanagerbank.standin.LogStandin;
import org.tanagerbank.standin.Standin;

/** A sidecar with the stand-ins it needs, all on loopback. */
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

  private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);

  final EngineStandin engine;
  final LogStandin log = LogStandin.create(ANY, LogSettings.defaults());
  final InstanceListStandin instances = InstanceListStandin.create(ANY, 0, 0);
  final Sidecar sidecar;
  final LinkClient client = LinkClient.create();
  private final List<Standin> standins = new ArrayList<>();
  private long sequence;

  SidecarFixture(EngineSettings settings) {
    this(EngineStandin.create(ANY, settings), "model-pool");
  }

  SidecarFixture(Standin upstream, String service) {
    this(upstream, service, 0);
  }

  /** Starts a sidecar of a service in front of a stand-in that is not started yet. */
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
                ANY,
                ANY,
                upstream.address(),
                log.address(),
                instances.address(),
                drainLimitMillis));
    sidecar.start();
  }

  EntryPeer entry() {
    return new EntryPeer(client, sidecar.linkAddress());
  }

  /** Returns an entry whose sidecar has been given the declaration and admits requests. */
  EntryPeer servingEntry() {
    EntryPeer entry = entry();
    entry.configure(1, DECLARATION);
    awaitAccepting(entry);
    return entry;
  }

  /** Probes with requests until one is not refused. */
  void awaitAccepting(EntryPeer entry) {
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
        .setRequest(EntryPeer.ref(sequence))
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
