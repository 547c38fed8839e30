package org.tanagerbank.entry;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.tanagerbank.adoption.ConfigOffer;
import org.tanagerbank.config.PeerOffers;
import org.tanagerbank.link.Link;
import org.tanagerbank.link.LinkClient;
import org.tanagerbank.link.LinkHandler;
import org.tanagerbank.machine.InstanceInfo;
import org.tanagerbank.proto.LinkProto.ConfigFetch;
import org.tanagerbank.proto.LinkProto.ConfigPush;
import org.tanagerbank.proto.LinkProto.Frame;

/** Asks other entries for their configuration over links opened for it. Thread-safe. */
final class PeerConfigs implements PeerOffers {
  /** Peers asked at once; the highest revision among them is recent enough. */
  private static final int MAX_PEERS = 8;

  private static final long LIMIT_MILLIS = 2_000;

  private final LinkClient client;
  private final Supplier<ImmutableList<InstanceInfo>> peers;

  PeerConfigs(LinkClient client, Supplier<ImmutableList<InstanceInfo>> peers) {
    this.client = client;
    this.peers = peers;
  }

  @Override
  public List<ConfigOffer> fetch(long haveRevision) throws InterruptedException {
    List<InstanceInfo> asked = peers.get().stream().limit(MAX_PEERS).toList();
    Queue<ConfigOffer> offers = new ConcurrentLinkedQueue<>();
    CountDownLatch answers = new CountDownLatch(asked.size());
    for (InstanceInfo peer : asked) {
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
    boolean all = answers.await(LIMIT_MILLIS, TimeUnit.MILLISECONDS);
    return all ? new ArrayList<>(offers) : ImmutableList.copyOf(offers);
  }

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
