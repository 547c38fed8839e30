package org.tanagerbank.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Lists;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.tanagerbank.engine.Prompt;
import org.tanagerbank.engine.PromptPart;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.Lifecycle;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.store.KeyedRecord;
import org.tanagerbank.store.KeyedTopic;
import org.tanagerbank.store.ReadResult;
import org.tanagerbank.store.ReadResult.Records;
import org.tanagerbank.store.RecordRelay;
import org.tanagerbank.store.RelayedRecords;

/**
 * Exchanges digests with the other instances of the fleet over UDP.
 *
 * <p>Instances discover each other through a topic of the store and through the peer lists in
 * digests. A lost digest does no harm, because the next one contains all counts of requests in
 * flight and repeats the latest placements. {@link #start} and {@link #stop} may be called from any
 * thread; all other methods are called on the event loop.
 */
public final class PeerService implements Lifecycle {
  /**
   * The minimum time between two digests. The interval grows with the number of peers, which bounds
   * the work of sending and receiving digests.
   */
  private static final long MIN_DIGEST_INTERVAL_MILLIS = 40;

  private static final long DIGEST_INTERVAL_PER_PEER_MILLIS = 10;

  /**
   * The time after which a digest is due although nothing has changed, so that peers detect that
   * the sender is alive.
   */
  private static final long KEEP_ALIVE_MILLIS = 400;

  /** One digest in this many lists live peers of the sender. */
  private static final int DIGESTS_PER_PEER_LIST = 25;

  /** Keeps a datagram with cached parts below the size from which networks fragment it. */
  private static final int PARTS_PER_DATAGRAM = 90;

  private static final int MAX_LISTED_PEERS = 20;
  private static final long STORE_RETRY_MILLIS = 700;

  private final EventLoop loop;
  private final LongSupplier clockMillis;
  private final PeerAddress self;
  private final KeyedTopic directory;
  private final PeerListener listener;
  private final Supplier<ImmutableMap<String, Integer>> inFlight;
  private final Supplier<Long> configVersion;
  private final PeerTable table;
  private final TopicRelay relay;
  private final PlacementLog placements = new PlacementLog();

  /** The number of the newest placement received, by instance id and incarnation. */
  private final Map<String, Long> lastPlacement = new HashMap<>();

  private Channel channel;
  private ImmutableMap<String, Integer> lastInFlight = ImmutableMap.of();
  private long digestNumber;
  private long sentAtMillis;
  private int lastLivePeers = -1;
  private boolean stopped;
  private Consumer<PeerAddress> peerStartedAction = started -> {};
  private Runnable peersReadAction = () -> {};
  private Runnable pendingStoreCall = () -> {};

  private PeerService(
      EventLoop loop,
      LongSupplier clockMillis,
      PeerAddress self,
      KeyedTopic directory,
      PeerListener listener,
      Supplier<ImmutableMap<String, Integer>> inFlight,
      Supplier<Long> configVersion) {
    this.loop = loop;
    this.clockMillis = clockMillis;
    this.self = self;
    this.directory = directory;
    this.listener = listener;
    this.inFlight = inFlight;
    this.configVersion = configVersion;
    this.table = new PeerTable(self.instanceId());
    this.relay =
        new TopicRelay(
            self.instanceId(), self.incarnation(), this::schedule, table::live, this::send);
  }

  /**
   * Returns a service that exchanges digests after {@link #start}.
   *
   * @param directory the topic in which instances register their addresses
   * @param inFlight returns the number of requests in flight from this instance, by upstream id
   * @param configVersion returns the version of the configuration in force
   */
  public static PeerService create(
      EventLoop loop,
      LongSupplier clockMillis,
      PeerAddress self,
      KeyedTopic directory,
      PeerListener listener,
      Supplier<ImmutableMap<String, Integer>> inFlight,
      Supplier<Long> configVersion) {
    return new PeerService(loop, clockMillis, self, directory, listener, inFlight, configVersion);
  }

  @Override
  public void start() {
    var bound =
        new Bootstrap()
            .group(loop)
            .channel(NioDatagramChannel.class)
            .handler(new Receiver())
            .bind(self.address())
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw TanagerException.failure(
          ErrorCode.PORT_IN_USE, "cannot listen on " + self.address(), bound.cause());
    }
    channel = bound.channel();
    loop.execute(this::register);
    schedule(this::tick, MIN_DIGEST_INTERVAL_MILLIS);
  }

  @Override
  public void stop() {
    stopped = true;
    if (channel != null) {
      channel.close().awaitUninterruptibly();
    }
  }

  /**
   * Sets the action that runs on the first digest of an incarnation of another instance, and on the
   * first digest after an incarnation was lost.
   */
  public void setPeerStartedAction(Consumer<PeerAddress> action) {
    peerStartedAction = action;
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
   * @param source returns the records from an offset, or nothing when they are not available
   */
  public void serve(String topic, LongFunction<Optional<RelayedRecords>> source) {
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
   * Registers this instance before it reads the registered instances. If two instances start at the
   * same time, the one that registers later therefore finds both.
   */
  private void register() {
    KeyedRecord entry = new KeyedRecord(self.instanceId(), Optional.of(DigestCodec.encode(self)));
    directory.append(entry, done -> retryUnless(done, this::register, this::findPeers));
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
      schedule(this::retryStoreCall, STORE_RETRY_MILLIS);
    }
  }

  /**
   * Repeats the call that the store did not answer, if there is one, without waiting for its retry.
   */
  public void retryStoreCall() {
    Runnable again = pendingStoreCall;
    pendingStoreCall = () -> {};
    again.run();
  }

  private void addPeers(ReadResult result) {
    if (result instanceof Records page) {
      page.records().forEach(r -> r.value().ifPresent(this::addPeer));
      peersReadAction.run();
    }
  }

  private void addPeer(byte[] address) {
    try {
      table.add(DigestCodec.decodeAddress(address), clockMillis.getAsLong());
    } catch (InvalidProtocolBufferException e) {
      EventLog.emit(LogEvent.PEER_MESSAGE_UNREADABLE, "where", "store", "error", e.getMessage());
    }
  }

  private void tick() {
    if (stopped) {
      return;
    }
    long now = clockMillis.getAsLong();
    table.markSilent(now).forEach(this::onPeerLost);
    reportFleetSize();
    ImmutableMap<String, Integer> current = inFlight.get();
    boolean hasChanges = placements.hasUnsent() || !current.equals(lastInFlight);
    if (hasChanges || now - sentAtMillis >= KEEP_ALIVE_MILLIS) {
      send(current, now);
    }
    schedule(
        this::tick,
        Math.max(
            MIN_DIGEST_INTERVAL_MILLIS, table.live().size() * DIGEST_INTERVAL_PER_PEER_MILLIS));
  }

  private void onPeerLost(String instanceId) {
    lastPlacement.keySet().removeIf(k -> k.startsWith(instanceId + " "));
    listener.onPeerLost(instanceId);
    EventLog.emit(LogEvent.PEER_LOST, "peer", instanceId);
  }

  private void reportFleetSize() {
    int live = table.live().size();
    if (live != lastLivePeers) {
      lastLivePeers = live;
      listener.onFleetSizeChanged(live + 1);
    }
  }

  /** Sends the cached parts of engines to instances, in as many datagrams as necessary. */
  public void sendCaches(ImmutableList<PeerAddress> targets, ImmutableList<CachedParts> caches) {
    for (CachedParts cache : caches) {
      for (List<PromptPart> parts : Lists.partition(cache.parts(), PARTS_PER_DATAGRAM)) {
        digestNumber++;
        CachedParts part = new CachedParts(cache.upstreamId(), ImmutableList.copyOf(parts));
        send(digest(lastInFlight, ImmutableList.of(), ImmutableList.of(part)), targets);
      }
    }
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
    sentAtMillis = now;
    digestNumber++;
    send(digest(current, placements.nextBatch(), ImmutableList.of()), targets);
  }

  private PeerDigest digest(
      ImmutableMap<String, Integer> current,
      ImmutableList<PeerPlacement> recentPlacements,
      ImmutableList<CachedParts> caches) {
    boolean listsPeers = digestNumber % DIGESTS_PER_PEER_LIST == 1;
    return new PeerDigest(
        self,
        digestNumber,
        configVersion.get(),
        current,
        recentPlacements,
        listsPeers ? peersToList() : ImmutableList.of(),
        caches);
  }

  private void send(PeerDigest digest, ImmutableList<PeerAddress> targets) {
    send(digest, targets.stream().map(PeerAddress::address));
  }

  private void send(InetSocketAddress target, PeerMessage message) {
    send(message, Stream.of(target));
  }

  private void send(PeerMessage message, Stream<InetSocketAddress> targets) {
    byte[] bytes = MessageCodec.encode(message);
    targets.forEach(t -> channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), t)));
    channel.flush();
  }

  private ImmutableList<PeerAddress> peersToList() {
    return table.live().stream().limit(MAX_LISTED_PEERS).collect(ImmutableList.toImmutableList());
  }

  private void receive(InetSocketAddress from, byte[] bytes) {
    try {
      PeerMessage message = MessageCodec.decode(bytes);
      if (message instanceof PeerDigest digest) {
        onDigest(digest);
      } else if (message instanceof TopicQuestion question) {
        relay.onQuestion(from, question);
      } else if (message instanceof TopicAnswer answer) {
        relay.onAnswer(answer);
      }
    } catch (InvalidProtocolBufferException e) {
      EventLog.emit(LogEvent.PEER_MESSAGE_UNREADABLE, "where", "datagram", "error", e.getMessage());
    }
  }

  private void onDigest(PeerDigest digest) {
    long now = clockMillis.getAsLong();
    digest.peers().forEach(p -> table.add(p, now));
    if (!table.recordDigest(digest.sender(), digest.number(), now)) {
      return;
    }
    String sender = digest.sender().instanceId();
    String incarnation = sender + " " + digest.sender().incarnation();
    long newestKnown = lastPlacement.getOrDefault(incarnation, 0L);
    if (!lastPlacement.containsKey(incarnation)) {
      EventLog.emit(
          LogEvent.PEER_FOUND, "peer", sender, "incarnation", digest.sender().incarnation());
      peerStartedAction.accept(digest.sender());
    }
    long newest = newestKnown;
    for (PeerPlacement placement : digest.placements()) {
      if (placement.number() > newestKnown) {
        listener.onPeerPlacement(placement);
        newest = Math.max(newest, placement.number());
      }
    }
    lastPlacement.put(incarnation, newest);
    digest.caches().forEach(listener::onPeerCaches);
    listener.onPeerInFlight(sender, digest.inFlight());
    listener.onPeerConfigVersion(digest.configVersion());
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
