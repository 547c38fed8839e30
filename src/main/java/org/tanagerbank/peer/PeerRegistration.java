package org.tanagerbank.peer;

import com.google.common.hash.Hashing;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import java.util.function.Consumer;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.store.KeyedRecord;
import org.tanagerbank.store.KeyedTopic;
import org.tanagerbank.store.ReadResult;
import org.tanagerbank.store.ReadResult.Records;
import org.tanagerbank.store.Scheduler;

/**
 * Registers an instance in a topic of the store and reads the other registered instances.
 *
 * <p>It registers before it reads. If two instances start at the same time, the one that registers
 * later therefore finds both. Calls that the store does not answer are repeated. Confined to the
 * event loop.
 */
final class PeerRegistration {
  private static final long STORE_RETRY_MILLIS = 700;

  /** Spreads the calls of instances that all learn of a restored store at the same time. */
  private static final int RENEWAL_SPREAD_MILLIS = 1_000;

  private final PeerAddress self;
  private final KeyedTopic directory;
  private final Scheduler scheduler;
  private final Consumer<PeerAddress> onPeer;
  private final Runnable onPeersRead;
  private Runnable pendingStoreCall = () -> {};
  private boolean stopped;

  PeerRegistration(
      PeerAddress self,
      KeyedTopic directory,
      Scheduler scheduler,
      Consumer<PeerAddress> onPeer,
      Runnable onPeersRead) {
    this.self = self;
    this.directory = directory;
    this.scheduler = scheduler;
    this.onPeer = onPeer;
    this.onPeersRead = onPeersRead;
  }

  void start() {
    if (stopped) {
      return;
    }
    KeyedRecord entry = new KeyedRecord(self.instanceId(), Optional.of(DigestCodec.encode(self)));
    directory.append(entry, done -> retryUnless(done, this::start, this::findPeers));
  }

  void stop() {
    stopped = true;
  }

  /**
   * Registers and reads the others again, because a store that was restored from an older copy may
   * lack entries.
   */
  void renew() {
    int delayMillis = Hashing.consistentHash(self.instanceId().hashCode(), RENEWAL_SPREAD_MILLIS);
    scheduler.schedule(this::start, delayMillis);
  }

  private void findPeers() {
    directory.readNewest(
        result -> retryUnless(result instanceof Records, this::findPeers, () -> addPeers(result)));
  }

  private void retryUnless(boolean done, Runnable again, Runnable next) {
    if (done) {
      next.run();
    } else if (!stopped) {
      pendingStoreCall = again;
      scheduler.schedule(this::retryNow, STORE_RETRY_MILLIS);
    }
  }

  /** Repeats the call that the store did not answer, if there is one. */
  void retryNow() {
    Runnable again = pendingStoreCall;
    pendingStoreCall = () -> {};
    again.run();
  }

  private void addPeers(ReadResult result) {
    if (result instanceof Records page) {
      page.records().forEach(r -> r.value().ifPresent(this::addPeer));
      onPeersRead.run();
    }
  }

  private void addPeer(byte[] address) {
    try {
      onPeer.accept(DigestCodec.decodeAddress(address));
    } catch (InvalidProtocolBufferException e) {
      EventLog.emit(LogEvent.PEER_MESSAGE_UNREADABLE, "where", "store", "error", e.getMessage());
    }
  }
}
