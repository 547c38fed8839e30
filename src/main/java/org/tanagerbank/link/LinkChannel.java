package org.tanagerbank.link;

import static java.util.concurrent.TimeUnit.MILLISECONDS;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.EncoderException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.proto.LinkProto.Ping;
import org.tanagerbank.proto.LinkProto.Pong;

/**
 * One link over a Netty channel, with heartbeat and idle close.
 *
 * <p>The handler is called on the channel's event loop only. The {@link Link} methods are
 * thread-safe; all other state belongs to the event loop.
 */
// Write failures close the channel, which reports them; the futures add nothing.
@SuppressWarnings("FutureReturnValueIgnored")
final class LinkChannel extends SimpleChannelInboundHandler<Frame> implements Link {
  private final LinkHandler handler;
  private final LinkTimings timings;
  private final long idleMillis;
  private final LinkTraffic traffic;
  private final CompletableFuture<Link> opened = new CompletableFuture<>();
  private final AtomicBoolean heartbeat = new AtomicBoolean();
  private volatile Channel channel;
  private volatile long lastUsedMillis;
  private long lastReceivedMillis;
  private long heartbeatSinceMillis;
  private long pingNonce;
  private boolean ticking;
  private String closeReason = "closed by the other end";
  private volatile Optional<CloseCause> closeCause = Optional.empty();

  LinkChannel(LinkHandler handler, LinkTimings timings, long idleMillis, LinkTraffic traffic) {
    this.handler = handler;
    this.timings = timings;
    this.idleMillis = idleMillis;
    this.traffic = traffic;
  }

  /** Completes with this link once it is open and the handler has been told. */
  CompletableFuture<Link> opened() {
    return opened;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    lastReceivedMillis = nowMillis();
    lastUsedMillis = lastReceivedMillis;
    scheduleIdleCheck(idleMillis);
    guarded(() -> handler.opened(this));
    opened.complete(this);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
    lastReceivedMillis = nowMillis();
    switch (frame.getBodyCase()) {
      case PING ->
          ctx.writeAndFlush(
              Frame.newBuilder()
                  .setPong(Pong.newBuilder().setNonce(frame.getPing().getNonce()))
                  .build());
      case PONG -> {
        // Its arrival alone is the evidence; see lastReceivedMillis.
      }
      default -> {
        lastUsedMillis = lastReceivedMillis;
        guarded(() -> handler.received(this, frame));
      }
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (ctx.channel().isWritable()) {
      guarded(() -> handler.writable(this));
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    heartbeat.set(false);
    closeCause = Optional.of(closeCause.orElse(CloseCause.REMOTE));
    guarded(() -> handler.closed(this, closeReason));
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    failWith(cause);
  }

  private void failWith(Throwable cause) {
    Throwable root =
        (cause instanceof DecoderException || cause instanceof EncoderException)
                && cause.getCause() != null
            ? cause.getCause()
            : cause;
    if (root instanceof TanagerException rejected) {
      EventLog.emit(
          LogEvent.LINK_FRAME_REJECTED,
          "remote",
          remoteAddress(),
          "code",
          rejected.code(),
          "detail",
          rejected.getMessage());
      closeWith(CloseCause.FAULT, rejected.code() + ": " + rejected.getMessage());
    } else {
      closeWith(CloseCause.FAULT, "connection failed: " + root.getMessage());
    }
  }

  @Override
  public void send(Frame frame) {
    lastUsedMillis = nowMillis();
    channel
        .writeAndFlush(frame)
        .addListener(
            (ChannelFutureListener)
                done -> {
                  if (done.cause() instanceof EncoderException) {
                    failWith(done.cause());
                  }
                });
  }

  @Override
  public void close() {
    channel.eventLoop().execute(() -> closeWith(CloseCause.LOCAL, "closed by this end"));
  }

  @Override
  public boolean isWritable() {
    return channel.isWritable();
  }

  @Override
  public void setHeartbeat(boolean on) {
    if (heartbeat.getAndSet(on) != on && on) {
      channel.eventLoop().execute(this::startTicking);
    }
  }

  @Override
  public Optional<CloseCause> closeCause() {
    return closeCause;
  }

  @Override
  public LinkTraffic traffic() {
    return traffic;
  }

  @Override
  public InetSocketAddress remoteAddress() {
    return (InetSocketAddress) channel.remoteAddress();
  }

  private void startTicking() {
    // What arrived before the heartbeat was on says nothing about silence since then.
    heartbeatSinceMillis = nowMillis();
    if (!ticking && channel.isActive()) {
      ticking = true;
      sendPing();
      scheduleTick();
    }
  }

  private void scheduleTick() {
    channel.eventLoop().schedule(this::tick, timings.ping(), MILLISECONDS);
  }

  private void tick() {
    if (!heartbeat.get() || !channel.isActive()) {
      ticking = false;
      return;
    }
    long now = nowMillis();
    long quiet = now - Math.max(lastReceivedMillis, heartbeatSinceMillis);
    if (quiet >= timings.silence()) {
      EventLog.emit(LogEvent.LINK_SILENT, "remote", remoteAddress(), "quietMillis", quiet);
      closeWith(CloseCause.SILENT, "silent for " + quiet + " ms");
      return;
    }
    // A frame within the last interval is evidence enough, so busy links carry no pings.
    if (now - lastReceivedMillis >= timings.ping()) {
      sendPing();
    }
    scheduleTick();
  }

  private void sendPing() {
    pingNonce++;
    channel.writeAndFlush(
        Frame.newBuilder().setPing(Ping.newBuilder().setNonce(pingNonce)).build());
  }

  private void scheduleIdleCheck(long delayMillis) {
    channel.eventLoop().schedule(this::checkIdle, delayMillis, MILLISECONDS);
  }

  private void checkIdle() {
    if (!channel.isActive()) {
      return;
    }
    long unused = nowMillis() - lastUsedMillis;
    if (unused >= idleMillis && !heartbeat.get()) {
      closeWith(CloseCause.IDLE, "idle for " + unused + " ms");
    } else {
      scheduleIdleCheck(Math.max(idleMillis - unused, timings.ping()));
    }
  }

  private void closeWith(CloseCause cause, String reason) {
    if (channel.isActive() && closeCause.isEmpty()) {
      closeCause = Optional.of(cause);
      closeReason = reason;
      channel.close();
    }
  }

  private void guarded(Runnable call) {
    try {
      call.run();
    } catch (RuntimeException e) {
      EventLog.emit(LogEvent.LINK_HANDLER_FAILED, e, "remote", remoteAddress());
      closeWith(CloseCause.FAULT, "handler failed: " + e);
    }
  }

  private static long nowMillis() {
    return NANOSECONDS.toMillis(System.nanoTime());
  }
}
