package org.tanagerbank.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.Lists;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.tanagerbank.engine.Prompt;
import org.tanagerbank.engine.PromptPart;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.Lifecycle;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.store.KeyedTopic;
import org.tanagerbank.store.RecordRelay;
import org.tanagerbank.store.TopicSource;
import org.tanagerbank.stream.StreamOrigins;

/**
 * Exchanges digests with the other instances of the fleet over UDP.
 *
 * <p>Instances discover each other through a topic of the store and through the peer lists in
 * digests. A lost digest does no harm, because the next one contains all counts of requests in
 * flight and repeats the latest placements. No datagram is larger than networks deliver in one
 * piece; a digest takes several if it must. {@link #start} and {@link #stop} may be called from any
 * thread; all other methods are called on the event loop.
 */
public final class PeerService implements Lifecycle {
  /** One digest in this many lists live peers of the sender. */
  private static final int DIGESTS_PER_PEER_LIST = 25;

  /** Keeps a datagram with cached parts below the size from which networks fragment it. */
  private static final int PARTS_PER_DATAGRAM = 90;

  private static final int MAX_LISTED_PEERS = 20;

  /** More than any datagram that an instance sends, so that none is cut off when it is read. */
  private static final int RECEIVE_BUFFER_BYTES = 4_096;

  private final EventLoop loop;
  private final LongSupplier clockMillis;
  private final PeerAddress self;
  private final PeerListener listener;
  private final DigestSource source;
  private final PeerTable table;
  private final TopicRelay relay;
  private final OriginExchange originExchange;
  private final PeerRegistration registration;
  private final PlacementLog placements = new PlacementLog();
  private final DigestSchedule digestSchedule = new DigestSchedule();

  private final DigestReceiver digestReceiver;
  private final PeerTraffic traffic = new PeerTraffic();

  private Channel channel;
  private ImmutableMap<String, Integer> lastInFlight = ImmutableMap.of();
  private long digestNumber;
  private boolean isUrgentDigestPending;
  private ImmutableSet<String> lastKnownIds = ImmutableSet.of();
  private boolean stopped;
  private Runnable peersReadAction = () -> {};

  private PeerService(
      EventLoop loop,
      LongSupplier clockMillis,
      PeerAddress self,
      KeyedTopic directory,
      PeerListener listener,
      DigestSource source,
      StreamOrigins origins) {
    this.loop = loop;
    this.clockMillis = clockMillis;
    this.self = self;
    this.listener = listener;
    this.source = source;
    this.table = new PeerTable(self.instanceId());
    this.digestReceiver = new DigestReceiver(table, listener);
    this.relay =
        new TopicRelay(
            self.instanceId(), self.incarnation(), this::schedule, table::live, this::send);
    this.originExchange =
        new OriginExchange(self.incarnation(), origins, this::schedule, table::live, this::send);
    origins.setNetwork(originExchange);
    this.registration =
        new PeerRegistration(
            self,
            directory,
            this::schedule,
            p -> table.add(p, clockMillis.getAsLong()),
            this::onPeersRead);
  }

  /**
   * Returns a service that exchanges digests after {@link #start}.
   *
   * @param directory the topic in which instances register their addresses
   * @param source provides what this instance tells the others
   * @param origins where streams began, of which this service tells and asks the others
   */
  public static PeerService create(
      EventLoop loop,
      LongSupplier clockMillis,
      PeerAddress self,
      KeyedTopic directory,
      PeerListener listener,
      DigestSource source,
      StreamOrigins origins) {
    return new PeerService(loop, clockMillis, self, directory, listener, source, origins);
  }

  @Override
  public void start() {
    var bound =
        new Bootstrap()
            .group(loop)
            .channel(NioDatagramChannel.class)
            .option(
                ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(RECEIVE_BUFFER_BYTES))
            .handler(new Receiver())
            .bind(self.address())
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw TanagerException.failure(
          ErrorCode.PORT_IN_USE, "cannot listen on " + self.address(), bound.cause());
    }
    channel = bound.channel();
    loop.execute(registration::start);
    schedule(this::tick, DigestSchedule.intervalMillis(0));
  }

  @Override
  public void stop() {
    stopped = true;
    registration.stop();
    if (channel != null) {
      channel.close().awaitUninterruptibly();
    }
  }

  /**
   * Sets the action that runs on the first digest of an incarnation of another instance, and on the
   * first digest after an incarnation was lost.
   */
  public void setPeerStartedAction(Consumer<PeerAddress> action) {
    digestReceiver.setStartedAction(
        started -> {
          tellEstimates(started);
          action.accept(started);
        });
  }

  /** Sets the action that runs after the registered instances were read from the store. */
  public void setPeersReadAction(Runnable action) {
    peersReadAction = action;
  }

  /** Adds a request that this instance sent to an engine to the next digests. */
  public void addPlacement(String upstreamId, Prompt prompt, int fetchedTokens) {
    placements.add(upstreamId, prompt, fetchedTokens);
  }

  /**
   * Answers questions of other instances about a topic.
   *
   * @param source the records that this instance has read
   */
  public void serve(String topic, TopicSource source) {
    relay.serve(topic, source);
  }

  /** Returns a relay that asks other instances for the records of a topic. */
  public RecordRelay relay(String topic) {
    return relay.relayFor(topic);
  }

  private void schedule(Runnable task, long delayMillis) {
    var unused = loop.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
  }

  /**
   * Repeats the call that the store did not answer, if there is one, without waiting for its retry.
   */
  public void retryStoreCall() {
    registration.retryNow();
  }

  /** Called when the store was restored from an older copy, which may lack entries. */
  public void onStoreRestored() {
    registration.renew();
  }

  private void tick() {
    if (stopped) {
      return;
    }
    long now = clockMillis.getAsLong();
    table.markSilent(now).forEach(this::onPeerLost);
    reportKnownPeers();
    ImmutableMap<String, Integer> current = source.inFlight();
    boolean hasChanges =
        placements.hasUnsent()
            || source.hasUnsentSuspects()
            || !source.trialClaims().isEmpty()
            || !current.equals(lastInFlight);
    if (hasChanges || digestSchedule.isKeepAliveDue(now)) {
      send(current, now);
    }
    schedule(this::tick, DigestSchedule.intervalMillis(table.live().size()));
  }

  private void onPeerLost(String instanceId) {
    digestReceiver.onPeerLost(instanceId);
    listener.onPeerLost(instanceId);
    EventLog.emit(LogEvent.PEER_LOST, "peer", instanceId);
  }

  private void reportKnownPeers() {
    // An instance that does not hear the others cannot know whether they serve.
    ImmutableSet<String> known =
        table.known().stream().map(PeerAddress::instanceId).collect(ImmutableSet.toImmutableSet());
    if (!known.equals(lastKnownIds)) {
      lastKnownIds = known;
      listener.onKnownPeersChanged(known);
    }
  }

  private void onPeersRead() {
    reportKnownPeers();
    listener.onPeersRead();
    peersReadAction.run();
  }

  /** Sends the cached parts of engines to instances, in as many datagrams as necessary. */
  public void sendCaches(ImmutableList<PeerAddress> targets, ImmutableList<CachedParts> caches) {
    for (CachedParts cache : caches) {
      for (List<PromptPart> parts : Lists.partition(cache.parts(), PARTS_PER_DATAGRAM)) {
        CachedParts part = new CachedParts(cache.upstreamId(), ImmutableList.copyOf(parts));
        PeerDigest digest = digest(DigestNews.ofCaches(ImmutableList.of(part)));
        send(DigestPacker.packNews(digest), targets.stream().map(PeerAddress::address));
      }
    }
  }

  /** Tells an instance that has just started what is known of the speed of upstreams. */
  private void tellEstimates(PeerAddress started) {
    PeerDigest digest = digest(DigestNews.ofCapacities(source.capacityEstimates()));
    send(DigestPacker.packNews(digest), Stream.of(started.address()));
  }

  /** Returns all known instances, live or silent. */
  public ImmutableList<PeerAddress> knownPeers() {
    return table.known();
  }

  /** Returns the instances that currently send digests. */
  public ImmutableList<PeerAddress> livePeers() {
    return table.live();
  }

  private void send(ImmutableMap<String, Integer> current, long now) {
    ImmutableList<PeerAddress> targets = table.targets(now);
    if (targets.isEmpty()) {
      return;
    }
    lastInFlight = current;
    digestSchedule.recordSent(now);
    digestNumber++;
    boolean listsPeers = digestNumber % DIGESTS_PER_PEER_LIST == 1;
    DigestNews news =
        new DigestNews(
            placements.nextBatch(),
            listsPeers ? peersToList() : ImmutableList.of(),
            source.nextSuspects(),
            ImmutableList.of(),
            source.nextCapacities());
    reportKnownPeers();
    send(MessageCodec.encode(digest(news)), targets.stream().map(PeerAddress::address));
  }

  /** Sends a digest as soon as the schedule allows, without waiting for the next regular one. */
  public void sendUrgently() {
    if (!isUrgentDigestPending) {
      isUrgentDigestPending = true;
      schedule(this::sendUrgentDigest, digestSchedule.urgentDelayMillis(clockMillis.getAsLong()));
    }
  }

  private void sendUrgentDigest() {
    isUrgentDigestPending = false;
    if (!stopped) {
      send(source.inFlight(), clockMillis.getAsLong());
    }
  }

  private PeerDigest digest(DigestNews news) {
    return new PeerDigest(
        self,
        digestNumber,
        source.configVersion(),
        WorkRange.ofAll(ImmutableSortedMap.copyOf(lastInFlight)),
        source.trialClaims(),
        news);
  }

  private void send(InetSocketAddress target, PeerMessage message) {
    send(MessageCodec.encode(message), Stream.of(target));
  }

  private void send(ImmutableList<byte[]> datagrams, Stream<InetSocketAddress> targets) {
    targets.forEach(t -> datagrams.forEach(d -> write(d, t)));
    channel.flush();
  }

  private void write(byte[] datagram, InetSocketAddress target) {
    if (datagram.length > RECEIVE_BUFFER_BYTES) {
      traffic.recordTooLarge();
      EventLog.emit(LogEvent.PEER_MESSAGE_TOO_LARGE, "bytes", datagram.length);
      return;
    }
    traffic.recordSent(datagram.length);
    channel.write(new DatagramPacket(Unpooled.wrappedBuffer(datagram), target));
  }

  /** Returns the counts of the datagrams of this instance. */
  public PeerTraffic traffic() {
    return traffic;
  }

  private ImmutableList<PeerAddress> peersToList() {
    return table.live().stream().limit(MAX_LISTED_PEERS).collect(ImmutableList.toImmutableList());
  }

  private void receive(InetSocketAddress from, byte[] bytes) {
    traffic.recordReceived();
    try {
      PeerMessage message = MessageCodec.decode(bytes);
      if (message instanceof PeerDigest digest) {
        digestReceiver.onDigest(digest, clockMillis.getAsLong());
      } else if (message instanceof DigestContinuation continuation) {
        digestReceiver.onContinuation(continuation, clockMillis.getAsLong());
      } else if (message instanceof TopicQuestion question) {
        relay.onQuestion(from, question);
      } else if (message instanceof TopicAnswer answer) {
        relay.onAnswer(answer);
      } else {
        originExchange.onMessage(from, message);
      }
    } catch (InvalidProtocolBufferException e) {
      traffic.recordUnreadable();
      EventLog.emit(LogEvent.PEER_MESSAGE_UNREADABLE, "where", "datagram", "error", e.getMessage());
    }
  }

  private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
      receive(packet.sender(), ByteBufUtil.getBytes(packet.content()));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // A send fails when the port of a peer is closed. PeerTable detects this by its silence.
    }
  }
}
