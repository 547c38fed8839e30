package org.tanagerbank.entry;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.tanagerbank.config.PeerOffers;
import org.tanagerbank.configreplica.ConfigOffer;
import org.tanagerbank.instance.InstanceInfo;
import org.tanagerbank.link.Link;
import org.tanagerbank.link.LinkClient;
import org.tanagerbank.link.LinkHandler;
import org.tanagerbank.proto.LinkProto.ConfigFetch;
import org.tanagerbank.proto.LinkProto.ConfigPush;
import org.tanagerbank.proto.LinkProto.Frame;

/**
 * Fetches the configurations of other entries over links that are opened for each fetch.
 * Thread-safe.
 */
final class PeerConfigFetcher implements PeerOffers {
  /**
   * The most peers that are queried at the same time. The highest revision among this many is
   * recent enough.
   */
  private static final int MAX_PEERS = 8;

  /** The longest time in milliseconds that a fetch waits for the answers. */
  private static final long FETCH_TIMEOUT_MILLIS = 2_000;

  private final LinkClient client;
  private final Supplier<ImmutableList<InstanceInfo>> peers;

  PeerConfigFetcher(LinkClient client, Supplier<ImmutableList<InstanceInfo>> peers) {
    this.client = client;
    this.peers = peers;
  }

  @Override
  public List<ConfigOffer> fetch(long haveRevision) throws InterruptedException {
    List<InstanceInfo> queried = peers.get().stream().limit(MAX_PEERS).toList();
    Queue<ConfigOffer> offers = new ConcurrentLinkedQueue<>();
    CountDownLatch answers = new CountDownLatch(queried.size());
    for (InstanceInfo peer : queried) {
      var unused =
          client
              .open(peer.address(), new Fetch(haveRevision, offers, answers))
              .whenComplete(
                  (link, failure) -> {
                    if (failure != null) {
                      answers.countDown();
                    }
                  });
    }
    boolean allAnswered = answers.await(FETCH_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    return allAnswered ? new ArrayList<>(offers) : ImmutableList.copyOf(offers);
  }

  /**
   * Sends one ConfigFetch, collects a newer configuration, and counts down when its link is closed.
   */
  private record Fetch(long haveRevision, Queue<ConfigOffer> offers, CountDownLatch answers)
      implements LinkHandler {
    @Override
    public void opened(Link link) {
      link.send(
          Frame.newBuilder()
              .setConfigFetch(ConfigFetch.newBuilder().setHaveRevision(haveRevision))
              .build());
    }

    @Override
    public void received(Link link, Frame frame) {
      if (frame.hasConfigPush()) {
        ConfigPush push = frame.getConfigPush();
        if (push.getRevision() > haveRevision) {
          offers.add(new ConfigOffer(push.getRevision(), push.getPublishId(), push.getText()));
        }
        link.close();
      }
    }

    @Override
    public void closed(Link link, String reason) {
      answers.countDown();
    }
  }
}
