package org.tanagerbank.platform;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.tanagerbank.platform.standin.StoreFaults;
import org.tanagerbank.platform.standin.StoreStandin;
import org.tanagerbank.store.HistoryReceiver;
import org.tanagerbank.store.KeyedRecord;
import org.tanagerbank.store.KeyedTopic;
import org.tanagerbank.store.ReadResult;
import org.tanagerbank.store.ReadResult.Records;
import org.tanagerbank.store.ReadResult.Restored;
import org.tanagerbank.store.ReadResult.Trimmed;
import org.tanagerbank.store.ReadResult.Unavailable;
import org.tanagerbank.store.TopicPosition;

/**
 * Guards against misread answers of the store: pages, removals, deleted records and error statuses.
 */
@Timeout(60)
final class StoreClientTest {
  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private StoreStandin store;
  private KeyedTopic topic;

  @BeforeEach
  void start() throws IOException {
    store = StoreStandin.onLoopback(/* pageItems= */ 2);
    store.start();
    topic =
        StoreClient.create(group.next(), store.address(), () -> System.nanoTime() / 1_000_000)
            .keyedTopic("keyed.t");
  }

  @AfterEach
  void stop() {
    store.stop();
    group.shutdownGracefully();
  }

  private <T> T await(Consumer<Consumer<T>> call) {
    CompletableFuture<T> future = new CompletableFuture<>();
    group.next().execute(() -> call.accept(future::complete));
    return future.join();
  }

  private void put(String key, String value) {
    store.put("keyed.t", key, Optional.of(value.getBytes(UTF_8)));
  }

  private static TopicPosition position(long offset) {
    return new TopicPosition(/* era= */ 1, offset);
  }

  private static String text(ReadResult result) {
    return ((Records) result)
        .records().stream()
            .map(r -> r.key() + "=" + r.value().map(v -> new String(v, UTF_8)).orElse("-"))
            .collect(Collectors.joining(" "));
  }

  @Test
  void newestRecordsAreReadFromAllPages() {
    for (int i = 0; i < 5; i++) {
      put("k" + i, "old");
      put("k" + i, "v" + i);
    }
    ReadResult result = await(topic::readNewest);
    assertThat(text(result)).isEqualTo("k0=v0 k1=v1 k2=v2 k3=v3 k4=v4");
    assertThat(((Records) result).next()).isEqualTo(position(10));
  }

  /** Guards against a key of another writer that ends the reading of pages. */
  @Test
  void pagesAfterAnOddKeyAreRead() {
    put("a", "1");
    put("b &after=z#?\u00e9%", "2");
    put("c", "3");
    assertThat(text(await(topic::readNewest))).isEqualTo("a=1 b &after=z#?\u00e9%=2 c=3");
  }

  /** Guards against an upstream that left while a gateway started and stays in use there. */
  @Test
  void changesOfKeysWhosePageWasReadAreReadNext() {
    put("a", "1");
    put("b", "2");
    put("c", "3");
    store.afterNextPage(
        () -> {
          store.put("keyed.t", "a", Optional.empty());
          put("b", "4");
          put("bb", "5");
        });
    Records newest = (Records) this.<ReadResult>await(topic::readNewest);
    assertThat(text(newest)).isEqualTo("a=1 b=2 bb=5 c=3");
    ReadResult changes = await(callback -> topic.read(newest.next(), 0, callback));
    assertThat(text(changes)).isEqualTo("a=- b=4 bb=5");
  }

  @Test
  void recordsAndRemovalsAreReadInOrder() {
    put("a", "1");
    store.put("keyed.t", "a", Optional.empty());
    put("b", "2");
    ReadResult result = await(callback -> topic.read(position(1), 0, callback));
    assertThat(text(result)).isEqualTo("a=- b=2");
    assertThat(((Records) result).next()).isEqualTo(position(3));
  }

  /** Guards against a page of the largest size that counts as all that was written. */
  @Test
  void pageThatDoesNotReachTheEndSaysSo() {
    store.put("keyed.t", "a", Optional.of(new byte[700_000]));
    store.put("keyed.t", "b", Optional.of(new byte[700_000]));
    Records first = (Records) this.<ReadResult>await(c -> topic.read(position(0), 0, c));
    assertThat(first.next()).isEqualTo(position(1));
    assertThat(first.hasMore()).isTrue();
    Records second = (Records) this.<ReadResult>await(c -> topic.read(first.next(), 0, c));
    assertThat(second.next()).isEqualTo(position(2));
    assertThat(second.hasMore()).isFalse();
  }

  /** Collects a history as text, with how it ends. */
  private static final class History implements HistoryReceiver {
    private final Consumer<String> callback;
    private final StringBuilder text = new StringBuilder();

    private History(Consumer<String> callback) {
      this.callback = callback;
    }

    @Override
    public void onPage(ImmutableList<KeyedRecord> records) {
      records.forEach(r -> text.append(r.key()).append(' '));
    }

    @Override
    public void onEnd(boolean isWhole) {
      callback.accept(text + (isWhole ? "whole" : "from the first that is left"));
    }

    @Override
    public void onFailure(String reason) {
      callback.accept(reason);
    }
  }

  private String history() {
    return await(callback -> topic.readHistory(new History(callback)));
  }

  @Test
  void historyHoldsAllRecordsThatAreLeft() {
    put("a", "1");
    put("b", "2");
    put("a", "3");
    assertThat(history()).isEqualTo("a b a whole");
    store.trim("keyed.t", 1);
    assertThat(history()).isEqualTo("b a from the first that is left");
    store.put("keyed.t", "large", Optional.of(new byte[200_000]));
    store.put("keyed.t", "larger", Optional.of(new byte[250_000]));
    assertThat(history()).isEqualTo("b a large larger from the first that is left");
    store.setFaults(StoreFaults.refusing(503));
    assertThat(history()).isEqualTo("status 503");
  }

  /** The records that a store lost when it came back from a copy leave no gap in the offsets. */
  @Test
  void historyOfARestoredStoreIsNotWhole() {
    put("a", "1");
    assertThat(history()).isEqualTo("a whole");
    store.restoreTo(store.mark());
    assertThat(history()).isEqualTo("a from the first that is left");
  }

  @Test
  void readOfDeletedRecordsIsReportedAsTrimmed() {
    put("a", "1");
    store.trim("keyed.t", 1);
    assertThat(this.<ReadResult>await(callback -> topic.read(position(0), 0, callback)))
        .isInstanceOf(Trimmed.class);
  }

  /** What such an answer says was lost in the restore, so it would undo what was read since. */
  @Test
  void answerFromBeforeARestoreIsNotUsed() {
    put("a", "1");
    store.setEra(2);
    assertThat(this.<ReadResult>await(topic::readNewest)).isInstanceOf(Records.class);
    store.setEra(1);
    assertThat(this.<ReadResult>await(topic::readNewest)).isInstanceOf(Unavailable.class);
    assertThat(this.<ReadResult>await(c -> topic.read(position(1), 0, c)))
        .isInstanceOf(Unavailable.class);
  }

  @Test
  void positionOfAnEarlierEraIsNotRead() {
    put("a", "1");
    store.restoreTo(store.mark());
    assertThat(this.<ReadResult>await(c -> topic.read(position(0), 0, c)))
        .isEqualTo(new Restored(2));
  }

  @Test
  void errorStatusIsReportedAsUnavailable() {
    store.setFaults(StoreFaults.refusing(503));
    assertThat(this.<ReadResult>await(topic::readNewest)).isEqualTo(new Unavailable("status 503"));
    assertThat(this.<Boolean>await(c -> topic.append(new KeyedRecord("a", Optional.empty()), c)))
        .isFalse();
  }

  @Test
  void appendedRecordIsRead() {
    KeyedRecord entry = new KeyedRecord("me", Optional.of("here".getBytes(UTF_8)));
    assertThat(this.<Boolean>await(callback -> topic.append(entry, callback))).isTrue();
    assertThat(text(await(topic::readNewest))).isEqualTo("me=here");
  }

  @Test
  void closedStoreIsReportedAsUnavailable() {
    store.stop();
    assertThat(this.<ReadResult>await(topic::readNewest)).isInstanceOf(Unavailable.class);
  }
}
