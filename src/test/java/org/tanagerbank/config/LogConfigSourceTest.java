package org.tanagerbank.config;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tanagerbank.configreplica.AdoptedConfig;
import org.tanagerbank.configreplica.ConfigOffer;
import org.tanagerbank.configreplica.ConfigRecord.Publish;
import org.tanagerbank.configreplica.ConfigRecord.Snapshot;
import org.tanagerbank.configreplica.ConfigRecordCodec;
import org.tanagerbank.configreplica.InMemoryLog;
import org.tanagerbank.platformclient.LogRecord;

/**
 * Guards against a source that misses a change, returns to a lower revision, or remains without a
 * configuration although the log or a peer has one. Causes are outages of the log, expired records
 * and listeners that throw exceptions.
 */
final class LogConfigSourceTest {
  private static final String TEXT = "services: {}";

  /** Ends a failing test that would otherwise wait forever. */
  private static final long TIMEOUT_SECONDS = 60;

  private final InMemoryLog log = new InMemoryLog();
  private final BlockingQueue<AdoptedConfig> received = new LinkedBlockingQueue<>();
  private LogConfigSource source;

  private void start(String instanceId, long retentionMillis, PeerOffers peers) {
    LogConfigSettings settings = new LogConfigSettings(instanceId, 20, 500, 1, 5, retentionMillis);
    source = new LogConfigSource(log, settings, peers, List::of, new Random(1));
    source.subscribe(received::add);
    source.start();
  }

  @AfterEach
  void stop() {
    source.stop();
  }

  private void publish(String id, long base) {
    log.append("config", ConfigRecordCodec.encode(new Publish(id, base, "ann", TEXT)));
  }

  private void awaitRevision(long revision) throws InterruptedException {
    assertThat(received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS).revision()).isEqualTo(revision);
    assertThat(source.current().orElseThrow().revision()).isEqualTo(revision);
  }

  @Test
  void deliversLatestRevisionFirstAndThenEachChange() throws Exception {
    publish("a", 0);
    publish("b", 1);
    start("", 86_400_000, PeerOffers.none());
    awaitRevision(2);
    publish("lost", 1);
    publish("c", 2);
    awaitRevision(4);
    log.setOutage(true);
    log.setOutage(false);
    publish("d", 4);
    awaitRevision(5);
  }

  @Test
  void startsFromPeersDuringOutageAndNeverLowersRevision() throws Exception {
    publish("a", 0);
    publish("b", 1);
    log.setOutage(true);
    List<ConfigOffer> offers =
        List.of(new ConfigOffer(1, "a", TEXT), new ConfigOffer(2, "b", TEXT));
    start("", 86_400_000, currentRevision -> offers);
    awaitRevision(2);
    assertThat(source.offer(new ConfigOffer(1, "a", TEXT))).isFalse();
    log.setOutage(false);
    publish("c", 2);
    awaitRevision(3);
  }

  @Test
  void fetchesFromPeersWhenLogHasNoStartPoint() throws Exception {
    publish("a", 0);
    publish("b", 1);
    log.expireBefore(2);
    start("", 86_400_000, currentRevision -> List.of(new ConfigOffer(2, "b", TEXT)));
    awaitRevision(2);
  }

  @Test
  void appendsSnapshotThatServesAsStartPoint() throws Exception {
    publish("a", 0);
    // The records of the test log are dated 1970, so more than half of a short retention has
    // passed.
    start("entry-1", 1_000, PeerOffers.none());
    awaitRevision(1);
    long offset = 2;
    while (log.allRecords().size() < offset) {
      Thread.onSpinWait();
    }
    LogRecord record = log.allRecords().get(1);
    assertThat(ConfigRecordCodec.decode(record.data()))
        .isEqualTo(new Snapshot(1, "a", "ann", 1_000, TEXT, 1));
    source.stop();
    log.expireBefore(2);
    start("", 86_400_000, PeerOffers.none());
    awaitRevision(1);
  }

  @Test
  void failingListenerDoesNotAffectOtherListeners() throws Exception {
    start("", 86_400_000, PeerOffers.none());
    source.subscribe(
        config -> {
          throw new IllegalStateException("exception thrown by the listener of the test");
        });
    BlockingQueue<Long> receivedByOther = new LinkedBlockingQueue<>();
    source.subscribe(config -> receivedByOther.add(config.revision()));
    publish("a", 0);
    awaitRevision(1);
    assertThat(receivedByOther.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(1);
  }
}
