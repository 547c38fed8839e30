package org.tanagerbank.platform;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.tanagerbank.platform.standin.StoreFaults;
import org.tanagerbank.platform.standin.StoreStandin;
import org.tanagerbank.store.KeyedRecord;
import org.tanagerbank.store.RecordRelay;
import org.tanagerbank.store.TopicFollower;
import org.tanagerbank.store.TopicListener;

/**
 * Guards against an instance that takes one page of a topic for all that was written. After it was
 * cut off from the store, it would accept keys again that the records behind that page withdraw.
 */
@Timeout(60)
final class LongPageTest {
  private static final long READ_DELAY_MILLIS = 100;
  private static final long WAIT_MILLIS = 400;
  private static final String TOPIC = "keyed.t";

  /** Together they take three pages of the store's answers. */
  private static final int LARGE_RECORDS = 26;

  private static final int LARGE_BYTES = 107_000;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final LongSupplier clock = () -> System.nanoTime() / 1_000_000;
  private final Reader reader = new Reader();
  private StoreStandin store;

  /** Notes what was known when the reader first claimed to know all that the store held. */
  private static final class Reader implements TopicListener {
    private final CompletableFuture<Void> hasSnapshot = new CompletableFuture<>();
    private final CompletableFuture<String> knownAtClaim = new CompletableFuture<>();
    private volatile long lastWrittenMillis = Long.MAX_VALUE;
    private String newestKey = "";

    @Override
    public void onSnapshot(ImmutableList<KeyedRecord> records) {
      hasSnapshot.complete(null);
    }

    @Override
    public void onRecords(ImmutableList<KeyedRecord> records) {
      newestKey = records.get(records.size() - 1).key();
    }

    @Override
    public void onCurrentAsOf(long atMillis) {
      if (atMillis >= lastWrittenMillis) {
        knownAtClaim.complete(newestKey);
      }
    }

    @Override
    public void onStoreLost(String reason) {}

    @Override
    public void onStoreRegained(long atMillis) {}
  }

  @BeforeEach
  void start() throws IOException {
    store = StoreStandin.onLoopback(/* pageItems= */ 500);
    store.start();
    TopicFollower follower =
        TopicFollower.create(
            StoreClient.create(loop, store.address(), clock).keyedTopic(TOPIC),
            RecordRelay.NONE,
            reader,
            (task, delay) -> {
              var unused = loop.schedule(task, delay, TimeUnit.MILLISECONDS);
            },
            clock,
            READ_DELAY_MILLIS,
            WAIT_MILLIS);
    loop.execute(follower::start);
    reader.hasSnapshot.join();
  }

  @AfterEach
  void stop() {
    store.stop();
    group.shutdownGracefully();
  }

  @Test
  void nothingIsCurrentBeforeTheLastPageIsRead() {
    store.setFaults(StoreFaults.refusing(503));
    for (int i = 0; i < LARGE_RECORDS; i++) {
      store.put(TOPIC, "large" + i, Optional.of(new byte[LARGE_BYTES]));
    }
    store.put(TOPIC, "withdrawal", Optional.of("key".getBytes(UTF_8)));
    reader.lastWrittenMillis = clock.getAsLong();
    store.setFaults(StoreFaults.NONE);
    assertThat(reader.knownAtClaim.join()).isEqualTo("withdrawal");
  }
}
