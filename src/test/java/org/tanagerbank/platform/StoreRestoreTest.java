package org.tanagerbank.platform;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
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
 * Guards against instances that miss what is written after the store was restored from an older
 * copy: offsets are given out again, so a position from before the restore means other records.
 */
@Timeout(60)
final class StoreRestoreTest {
  private static final long READ_DELAY_MILLIS = 50;
  private static final long WAIT_MILLIS = 400;
  private static final long AGREEMENT_NANOS = TimeUnit.SECONDS.toNanos(5);
  private static final String TOPIC = "keyed.t";

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final LongSupplier clock = () -> System.nanoTime() / 1_000_000;
  private StoreStandin store;
  private Instance reader;
  private Instance asker;

  /** An instance that follows the topic, and the values that it knows. */
  private final class Instance implements TopicListener {
    private final Map<String, String> values = new HashMap<>();
    private final TopicFollower follower;

    private Instance(RecordRelay relay) {
      follower =
          TopicFollower.create(
              StoreClient.create(loop, store.address(), clock).keyedTopic(TOPIC),
              relay,
              this,
              (task, delay) -> {
                var unused = loop.schedule(task, delay, TimeUnit.MILLISECONDS);
              },
              clock,
              READ_DELAY_MILLIS,
              WAIT_MILLIS);
      loop.execute(follower::start);
    }

    @Override
    public synchronized void onSnapshot(ImmutableList<KeyedRecord> records) {
      values.clear();
      onRecords(records);
    }

    @Override
    public synchronized void onRecords(ImmutableList<KeyedRecord> records) {
      records.forEach(
          r -> values.put(r.key(), r.value().map(v -> new String(v, UTF_8)).orElse("-")));
    }

    private synchronized String value(String key) {
      return values.getOrDefault(key, "");
    }

    @Override
    public void onCurrentAsOf(long atMillis) {}

    @Override
    public void onStoreLost(String reason) {}

    @Override
    public void onStoreRegained(long atMillis) {}
  }

  @BeforeEach
  void start() throws IOException {
    store = StoreStandin.onLoopback(/* pageItems= */ 500);
    store.start();
    put("first", "1");
    reader = new Instance(RecordRelay.NONE);
    asker =
        new Instance(
            (from, respondents, callback) -> callback.accept(reader.follower.recordsFrom(from)));
    awaitEverywhere("first", "1");
  }

  @AfterEach
  void stop() {
    store.stop();
    group.shutdownGracefully();
  }

  private void put(String key, String value) {
    store.put(TOPIC, key, Optional.of(value.getBytes(UTF_8)));
  }

  private void awaitEverywhere(String key, String value) {
    long end = System.nanoTime() + AGREEMENT_NANOS;
    while (!(reader.value(key).equals(value) && asker.value(key).equals(value))
        && System.nanoTime() < end) {
      Thread.onSpinWait();
    }
    assertThat(reader.value(key)).isEqualTo(value);
    assertThat(asker.value(key)).isEqualTo(value);
  }

  private void putUntilKnown(String prefix, int count) {
    putAll(prefix, count);
    awaitEverywhere(prefix + (count - 1), "x");
  }

  @Test
  void recordAfterTheRestoreIsKnownEverywhere() {
    long mark = store.mark();
    putUntilKnown("lost", 8);
    store.restoreTo(mark);
    put("first", "2");
    awaitEverywhere("first", "2");
  }

  @Test
  void recordsThatTakeTheOffsetsOfLostOnesAreKnownEverywhere() {
    long mark = store.mark();
    putUntilKnown("lost", 3);
    store.setFaults(StoreFaults.refusing(503));
    store.restoreTo(mark);
    put("first", "2");
    putAll("new", 9);
    store.setFaults(StoreFaults.NONE);
    awaitEverywhere("first", "2");
    awaitEverywhere("new8", "x");
  }

  private void putAll(String prefix, int count) {
    for (int i = 0; i < count; i++) {
      put(prefix + i, "x");
    }
  }

  @Test
  void restoresInSeriesAreFollowed() {
    for (int round = 2; round < 6; round++) {
      long mark = store.mark();
      putUntilKnown("lost" + round + "-", round);
      store.restoreTo(mark);
      put("first", Integer.toString(round));
      awaitEverywhere("first", Integer.toString(round));
    }
  }
}
