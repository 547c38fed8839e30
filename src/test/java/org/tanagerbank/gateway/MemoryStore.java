package org.tanagerbank.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.tanagerbank.route.RoutingConfig;
import org.tanagerbank.store.FleetStore;
import org.tanagerbank.store.HistoryReceiver;
import org.tanagerbank.store.KeyedRecord;
import org.tanagerbank.store.KeyedTopic;
import org.tanagerbank.store.ReadResult;
import org.tanagerbank.store.ReadResult.Records;
import org.tanagerbank.store.ReadResult.Unavailable;
import org.tanagerbank.store.TopicPosition;
import org.tanagerbank.upstream.UpstreamReport;

/** An in-memory store with one configuration and a fixed set of upstreams. Thread-safe. */
final class MemoryStore implements FleetStore {
  private final EventLoop loop;
  private final RoutingConfig config;
  private final ImmutableMap<String, UpstreamReport> upstreams;
  private volatile boolean isUnavailable;

  MemoryStore(
      EventLoop loop, RoutingConfig config, ImmutableMap<String, UpstreamReport> upstreams) {
    this.loop = loop;
    this.config = config;
    this.upstreams = upstreams;
  }

  /** Makes all later reads fail as unavailable. */
  void becomeUnavailable() {
    isUnavailable = true;
  }

  private final class Topic implements KeyedTopic {
    private final ImmutableList<KeyedRecord> records;

    private Topic(ImmutableList<KeyedRecord> records) {
      this.records = records;
    }

    @Override
    public void readNewest(Consumer<ReadResult> callback) {
      deliver(records, 0, callback);
    }

    @Override
    public void read(TopicPosition from, long waitMillis, Consumer<ReadResult> callback) {
      deliver(ImmutableList.of(), waitMillis, callback);
    }

    private void deliver(
        ImmutableList<KeyedRecord> page, long delayMillis, Consumer<ReadResult> callback) {
      ReadResult result =
          isUnavailable
              ? new Unavailable("store unavailable")
              : new Records(page, new TopicPosition(0, records.size()), false);
      var unused = loop.schedule(() -> callback.accept(result), delayMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void readHistory(HistoryReceiver receiver) {
      loop.execute(
          () -> {
            receiver.onPage(records);
            receiver.onEnd(/* isWhole= */ true);
          });
    }

    @Override
    public void append(KeyedRecord keyedRecord, Consumer<Boolean> callback) {
      loop.execute(() -> callback.accept(true));
    }
  }

  @Override
  public KeyedTopic configTopic() {
    return new Topic(ImmutableList.of(new KeyedRecord("config", Optional.of(new byte[] {1}))));
  }

  @Override
  public KeyedTopic upstreamTopic() {
    return new Topic(
        upstreams.keySet().stream()
            .map(id -> new KeyedRecord(id, Optional.of(new byte[] {1})))
            .collect(ImmutableList.toImmutableList()));
  }

  @Override
  public KeyedTopic fleetTopic(String name) {
    return new Topic(ImmutableList.of());
  }

  @Override
  public void setRestoredAction(LongConsumer action) {}

  @Override
  public Optional<RoutingConfig> decodeConfig(KeyedRecord keyedRecord) {
    return Optional.of(config);
  }

  @Override
  public Optional<String> evacuationZone(KeyedRecord keyedRecord) {
    return Optional.empty();
  }

  @Override
  public Optional<UpstreamReport> decodeUpstream(KeyedRecord keyedRecord) {
    return Optional.ofNullable(upstreams.get(keyedRecord.key()));
  }
}
