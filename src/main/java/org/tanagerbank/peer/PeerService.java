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
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.Lifecycle;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.engine.Prompt;
import org.tanagerbank.engine.PromptPart;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.feed.KeyedRecord;
import org.tanagerbank.feed.KeyedTopic;
import org.tanagerbank.feed.ReadResult;
import org.tanagerbank.feed.ReadResult.Records;
import org.tanagerbank.feed.RecordRelay;
import org.tanagerbank.feed.RelayedRead;

/**
 * Exchanges digests with the other instances of the fleet over UDP.
 *
 * <p>Instances find each other in a topic of the store and by what digests tell. A lost digest does
 * no harm: the next one holds the whole state. {@link #start} and {@link #stop} may be called from
 * any thread; all else happens on the event loop.
 */
public final class PeerService implements Lifecycle {
  /** The least time between digests; longer with many peers, so that the work stays bounded. */
  private static final long MIN_PACE_MILLIS = 40;

  private static final long PACE_PER_PEER_MILLIS = 10;

  /** Digests are sent at least this often, so that peers know the sender lives. */
  private static final long IDLE_MILLIS = 400;

  /** How often a digest names the peers that the sender knows. */
  private static final int DIGESTS_PER_PEER_LIST = 25;

  /** Keeps a datagram with cached parts below the size that networks pass on whole. */
  private static final int PARTS_PER_DATAGRAM = 90;

  private static final int MAX_PEERS_TOLD = 20;
  private static final long STORE_RETRY_MILLIS = 700;

  private final EventLoop loop;
  private final LongSupplier clockMillis;
  private final PeerAddress self;
  private final KeyedTopic directory;
  private final PeerListener listener;
  private final Supplier<ImmutableMap<String, Integer>> work;
  private final Supplier<Long> configVersion;
  private final PeerTable table;
  private final TopicRelay relay;
  private final PlacementLog placements = new PlacementLog();

  /** The newest placement taken over, by instance id and incarnation. */
  private final Map<String, Long> lastPlacement = new HashMap<>();

  private Channel channel;
  private ImmutableMap<String, Integer> lastWork = ImmutableMap.of();
  private long number;
  private long sentAt;
  private int liveBefore = -1;
  private boolean stopped;
  private Consumer<PeerAddress> onStarted = started -> {};
  private Runnable onListed = () -> {};
  private Runnable storeRetry = () -> {};

  private PeerService(
      EventLoop loop,
      LongSupplier clockMillis,
      PeerAddress self,
      KeyedTopic directory,
      PeerListener listener,
      Supplier<ImmutableMap<String, Integer>> work,
      Supplier<Long> configVersion) {
    this.loop = loop;
    this.clockMillis = clockMillis;
    this.self = self;
    this.directory = directory;
    this.listener = listener;
    this.work = work;
    this.configVersion = configVersion;
    this.table = new PeerTable(self.instanceId());
    this.relay =
        new TopicRelay(
            self.instanceId(), self.incarnation(), this::schedule, table::live, this::send);
  }

  /**
   * Returns a service that exchanges digests after {@link #start}.
   *
   * @param directory the topic in which instances find each other
   * @param work returns the requests that this instance has at each upstream
   * @param configVersion returns the version of the configuration in force
   */
  public static PeerService create(
      EventLoop loop,
      LongSupplier clockMillis,
      PeerAddress self,
      KeyedTopic directory,
      PeerListener listener,
      Supplier<ImmutableMap<String, Integer>> work,
      Supplier<Long> configVersion) {
    return new PeerService(loop, clockMillis, self, directory, listener, work, configVersion);
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
    schedule(this::tick, MIN_PACE_MILLIS);
  }

  @Override
  public void stop() {
    stopped = true;
    if (channel != null) {
      channel.close().awaitUninterruptibly();
    }
  }

  /** Sets what is told of each start of an instance when it is first heard of. */
  public void onStarted(Consumer<PeerAddress> action) {
    onStarted = action;
  }

  /** Sets what is run when the store has told which instances there are. */
  public void onListed(Runnable action) {
    onListed = action;
  }

  /** Notes that this instance sent a request to an engine. */
  public void placed(String upstreamId, Prompt prompt, int fetchedTokens) {
    placements.placed(upstreamId, prompt, fetchedTokens);
  }

  /** Answers other instances' questions about a topic by what a source knows from an offset. */
  public void serve(String topic, LongFunction<Optional<RelayedRead>> source) {
    relay.serve(topic, source);
  }

  /** Returns a way to learn from other instances what they have read of a topic. */
  public RecordRelay relay(String topic) {
    return relay.topic(topic);
  }

  private void schedule(Runnable task, long delayMillis) {
    var unused = loop.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
  }

  /** Writes before it reads, so that of two instances that start at once the later sees both. */
  private void register() {
    KeyedRecord entry = new KeyedRecord(self.instanceId(), Optional.of(DigestCodec.encode(self)));
    directory.append(entry, done -> retryUnless(done, this::register, this::findPeers));
  }

  private void findPeers() {
    directory.newest(
        result -> retryUnless(result instanceof Records, this::findPeers, () -> learn(result)));
  }

  private void retryUnless(boolean done, Runnable again, Runnable next) {
    if (done) {
      next.run();
    } else if (!stopped) {
      storeRetry = again;
      schedule(this::storeAnswers, STORE_RETRY_MILLIS);
    }
  }

  /** Repeats at once the call that the store did not answer, if there is one. */
  public void storeAnswers() {
    Runnable again = storeRetry;
    storeRetry = () -> {};
    again.run();
  }

  private void learn(ReadResult result) {
    if (result instanceof Records page) {
      page.records().forEach(r -> r.value().ifPresent(this::learn));
      onListed.run();
    }
  }

  private void learn(byte[] address) {
    try {
      table.learned(DigestCodec.decodeAddress(address), clockMillis.getAsLong());
    } catch (InvalidProtocolBufferException e) {
      EventLog.emit(LogEvent.PEER_MESSAGE_UNREADABLE, "where", "store", "error", e.getMessage());
    }
  }

  private void tick() {
    if (stopped) {
      return;
    }
    long now = clockMillis.getAsLong();
    table.newlySilent(now).forEach(this::lost);
    noteFleetSize();
    ImmutableMap<String, Integer> current = work.get();
    boolean news = placements.hasNews() || !current.equals(lastWork);
    if (news || now - sentAt >= IDLE_MILLIS) {
      send(current, now);
    }
    schedule(this::tick, Math.max(MIN_PACE_MILLIS, table.live().size() * PACE_PER_PEER_MILLIS));
  }

  private void lost(String instanceId) {
    lastPlacement.keySet().removeIf(k -> k.startsWith(instanceId + " "));
    listener.peerLost(instanceId);
    EventLog.emit(LogEvent.PEER_LOST, "peer", instanceId);
  }

  private void noteFleetSize() {
    int live = table.live().size();
    if (live != liveBefore) {
      liveBefore = live;
      listener.fleetSize(live + 1);
    }
  }

  /** Tells instances what engines keep, in as many datagrams as it takes. */
  public void sendCaches(ImmutableList<PeerAddress> targets, ImmutableList<CachedParts> caches) {
    for (CachedParts cache : caches) {
      for (List<PromptPart> parts : Lists.partition(cache.parts(), PARTS_PER_DATAGRAM)) {
        number++;
        CachedParts part = new CachedParts(cache.upstreamId(), ImmutableList.copyOf(parts));
        send(digest(lastWork, ImmutableList.of(), ImmutableList.of(part)), targets);
      }
    }
  }

  /** Returns all instances that are known, whether or not they are heard of. */
  public ImmutableList<PeerAddress> known() {
    return table.known();
  }

  /** Returns the instances that are heard of. */
  public ImmutableList<PeerAddress> live() {
    return table.live();
  }

  private void send(ImmutableMap<String, Integer> current, long now) {
    ImmutableList<PeerAddress> targets = table.targets(now);
    if (targets.isEmpty()) {
      return;
    }
    lastWork = current;
    sentAt = now;
    number++;
    send(digest(current, placements.next(), ImmutableList.of()), targets);
  }

  private PeerDigest digest(
      ImmutableMap<String, Integer> current,
      ImmutableList<PlacementNote> notes,
      ImmutableList<CachedParts> caches) {
    boolean namesPeers = number % DIGESTS_PER_PEER_LIST == 1;
    return new PeerDigest(
        self,
        number,
        configVersion.get(),
        current,
        notes,
        namesPeers ? somePeers() : ImmutableList.of(),
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

  private ImmutableList<PeerAddress> somePeers() {
    return table.live().stream().limit(MAX_PEERS_TOLD).collect(ImmutableList.toImmutableList());
  }

  private void receive(InetSocketAddress from, byte[] bytes) {
    try {
      PeerMessage message = MessageCodec.decode(bytes);
      if (message instanceof PeerDigest digest) {
        take(digest);
      } else if (message instanceof TopicQuestion question) {
        relay.question(from, question);
      } else if (message instanceof TopicAnswer answer) {
        relay.answer(answer);
      }
    } catch (InvalidProtocolBufferException e) {
      EventLog.emit(LogEvent.PEER_MESSAGE_UNREADABLE, "where", "datagram", "error", e.getMessage());
    }
  }

  private void take(PeerDigest digest) {
    long now = clockMillis.getAsLong();
    digest.peers().forEach(p -> table.learned(p, now));
    if (!table.heard(digest.sender(), digest.number(), now)) {
      return;
    }
    String sender = digest.sender().instanceId();
    String incarnation = sender + " " + digest.sender().incarnation();
    long known = lastPlacement.getOrDefault(incarnation, 0L);
    if (!lastPlacement.containsKey(incarnation)) {
      EventLog.emit(
          LogEvent.PEER_FOUND, "peer", sender, "incarnation", digest.sender().incarnation());
      onStarted.accept(digest.sender());
    }
    long newest = known;
    for (PlacementNote note : digest.placements()) {
      if (note.number() > known) {
        listener.peerPlaced(note);
        newest = Math.max(newest, note.number());
      }
    }
    lastPlacement.put(incarnation, newest);
    digest.caches().forEach(listener::peerCaches);
    listener.peerWork(sender, digest.inFlight());
    listener.peerConfig(digest.configVersion());
  }

  private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
      receive(packet.sender(), ByteBufUtil.getBytes(packet.content()));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // A peer whose port is closed makes sends fail; its silence is noticed anyway.
    }
  }
}
