package org.tanagerbank.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.tanagerbank.dispatch.ConfigState;
import org.tanagerbank.dispatch.DispatchRuntime;
import org.tanagerbank.dispatch.DispatchSettings;
import org.tanagerbank.dispatch.Dispatcher;
import org.tanagerbank.dispatch.EvacuatedZones;
import org.tanagerbank.platform.PlatformHeaderCodec;
import org.tanagerbank.platform.PlatformStore;
import org.tanagerbank.store.KeyedRecord;
import org.tanagerbank.store.TopicPosition;
import org.tanagerbank.upstream.Connector;

/**
 * Guards against evacuation orders that are missed because of their value, their order or a
 * restart, and against a gateway that uses a configuration before the orders beside it.
 */
final class ConfigTopicListenerTest {
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final ConfigState config = new ConfigState(5_000, 2_000);
  private final Dispatcher dispatcher =
      Dispatcher.create(
          new DispatchRuntime(
              channel.eventLoop(),
              Connector.tcp(channel.eventLoop()),
              () -> 0,
              () -> 0,
              () -> 0,
              new SplittableRandom(1)),
          new PlatformHeaderCodec(),
          config,
          new DispatchSettings("g", "z", 2, 0.2, 10_000, 50, 5_000),
          new GatewayMetrics());
  private final EvacuatedZones zones = dispatcher.sharedUpstreamState().evacuatedZones();
  private final List<Object> zonesAtAdoption = new ArrayList<>();
  private final ConfigTopicListener listener =
      new ConfigTopicListener(
          PlatformStore.create(null),
          config,
          zones,
          () -> new TopicPosition(1, 1),
          (keyed, adopted) -> zonesAtAdoption.add(zones.inFlightByZone().keySet()),
          () -> {});

  private static KeyedRecord keyed(String key, String value) {
    return new KeyedRecord(key, value.isEmpty() ? Optional.empty() : Optional.of(value.getBytes()));
  }

  @Test
  void ordersOfASnapshotHoldBeforeItsConfigurationIsUsed() {
    listener.onSnapshot(
        ImmutableList.of(keyed("config", "{\"version\":1}"), keyed("evacuate/b", "{}")));
    assertThat(zonesAtAdoption).containsExactly(zones.inFlightByZone().keySet());
    assertThat(zones.inFlightByZone()).containsKey("b");
  }

  @Test
  void recordWhoseValueCannotBeReadIsAnOrder() {
    listener.onRecords(
        ImmutableList.of(keyed("evacuate/b", "{\"x"), keyed("evacuate/c", "\0\1\u00ff")));
    assertThat(zones.inFlightByZone().keySet()).containsExactly("b", "c");
    listener.onRecords(ImmutableList.of(keyed("evacuate/b", "")));
    assertThat(zones.inFlightByZone().keySet()).containsExactly("c");
  }

  @Test
  void keyWithoutAZoneIsIgnored() {
    listener.onRecords(ImmutableList.of(keyed("evacuate/", "{}"), keyed("evacuate", "{}")));
    listener.onSnapshot(ImmutableList.of(keyed("evacuate/", "{}"), keyed("other/b", "{}")));
    assertThat(zones.inFlightByZone()).isEmpty();
  }
}
