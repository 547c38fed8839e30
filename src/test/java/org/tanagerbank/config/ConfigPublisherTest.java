package org.tanagerbank.config;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentSkipListSet;
import org.junit.jupiter.api.Test;
import org.tanagerbank.configreplica.ConfigRecord.Publish;
import org.tanagerbank.configreplica.InMemoryLog;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.request.Verdict;

/**
 * Guards against a publisher that reports a different result than the log determines, or publishes
 * a text twice. This can happen when responses to appends are lost, when the log is down or has
 * expired records, and when several publishers append concurrently.
 */
final class ConfigPublisherTest {
  private static final String TEXT = "services: {}";

  private final InMemoryLog log = new InMemoryLog();
  private final ConfigPublisher publisher = new ConfigPublisher(log, 60_000);

  @Test
  void acceptsOnCurrentBaseAndReportsRevisionInForceOtherwise() throws Exception {
    assertThat(publisher.publish(new Publish("a", 0, "ann", TEXT)))
        .isEqualTo(new PublishResult.Accepted(1));
    PublishResult.BaseOutdated outdated =
        (PublishResult.BaseOutdated) publisher.publish(new Publish("b", 0, "bob", TEXT));
    assertThat(outdated.textInForce().revision()).isEqualTo(1);
    assertThat(outdated.textInForce().operator()).isEqualTo("ann");
    assertThat(log.allRecords()).hasSize(1);
  }

  @Test
  void findsItsRecordWhenAppendResponseIsLost() throws Exception {
    log.loseNextResponses(1);
    assertThat(publisher.publish(new Publish("a", 0, "ann", TEXT)))
        .isEqualTo(new PublishResult.Accepted(1));
    assertThat(log.allRecords()).hasSize(1);
  }

  @Test
  void reportsRepeatForPublishIdAcceptedBefore() throws Exception {
    publisher.publish(new Publish("a", 0, "ann", TEXT));
    publisher.publish(new Publish("b", 1, "bob", TEXT));
    assertThat(publisher.publish(new Publish("a", 0, "ann", TEXT)))
        .isEqualTo(new PublishResult.Repeat(1));
    assertThat(log.allRecords()).hasSize(2);
  }

  @Test
  void reportsNotRunWhenOutagePreventsAppend() {
    log.setOutage(true);
    TanagerException failure =
        assertThrows(
            TanagerException.class,
            () -> new ConfigPublisher(log, 1).publish(new Publish("a", 0, "ann", TEXT)));
    assertThat(failure.verdict()).isEqualTo(Verdict.NOT_RUN);
  }

  @Test
  void failsWhenLogHasNoStartPoint() throws Exception {
    publisher.publish(new Publish("a", 0, "ann", TEXT));
    log.expireBefore(2);
    TanagerException failure =
        assertThrows(
            TanagerException.class, () -> publisher.publish(new Publish("b", 1, "bob", TEXT)));
    assertThat(failure).hasMessageThat().contains("begins at offset 2");
  }

  @Test
  void readsFromOldestRecordWhenRecentRecordsHaveNoStartPoint() throws Exception {
    publisher.publish(new Publish("a", 0, "ann", TEXT));
    for (int i = 0; i < 2_500; i++) {
      log.append("config", new byte[] {'x'});
    }
    assertThat(publisher.publish(new Publish("b", 1, "bob", TEXT)))
        .isEqualTo(new PublishResult.Accepted(2_502));
  }

  @Test
  void eachRevisionIsAcceptedFromExactlyOneConcurrentPublisher() throws Exception {
    Set<Long> revisions = new ConcurrentSkipListSet<>();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      String id = "p" + i;
      Thread thread = new Thread(() -> publishUntilAccepted(id, revisions));
      threads.add(thread);
      thread.start();
    }
    for (Thread thread : threads) {
      thread.join();
    }
    assertThat(revisions).hasSize(8);
  }

  private void publishUntilAccepted(String id, Set<Long> revisions) {
    long base = 0;
    try {
      while (true) {
        PublishResult result = publisher.publish(new Publish(id, base, id, TEXT));
        if (result instanceof PublishResult.Accepted accepted) {
          assertThat(revisions.add(accepted.revision())).isTrue();
          return;
        }
        base = ((PublishResult.BaseOutdated) result).textInForce().revision();
      }
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
