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
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.proto.LinkProto.Ping;
import org.tanagerbank.proto.LinkProto.Pong;
import org.tanagerbank.request.TanagerException;

/**
 * A link over a Netty channel, with a heartbeat and an idle timeout.
 *
 * <p>The handler is called only on the channel's event loop. The {@link Link} methods are
 * thread-safe; all other state is confined to the event loop.
 */
// A write failure closes the channel, which reports the failure, so the futures can be ignored.
@SuppressWarnings("FutureReturnValueIgnored")
final class LinkChannel extends SimpleChannelInboundHandler<Frame> implements Link {
  private final LinkHandler handler;
  private final LinkTimings timings;
  private final long idleTimeoutMillis;
  private final LinkTraffic traffic;
  private final CompletableFuture<Link> opened = new CompletableFuture<>();
  private final AtomicBoolean heartbeatEnabled = new AtomicBoolean();
  private volatile Channel channel;
  private volatile long lastUsedMillis;
  private long lastReceivedMillis;
  private long heartbeatStartedMillis;
  private long pingNonce;
  private boolean heartbeatScheduled;
  private long heartbeatDueMillis;
  private boolean isSilenceUnconfirmed;
  private String closeReason = "closed by the peer";
  private volatile Optional<CloseCause> closeCause = Optional.empty();

  LinkChannel(
      LinkHandler handler, LinkTimings timings, long idleTimeoutMillis, LinkTraffic traffic) {
    this.handler = handler;
    this.timings = timings;
    this.idleTimeoutMillis = idleTimeoutMillis;
    this.traffic = traffic;
  }

  /** Returns a future that completes with this link after {@link LinkHandler#opened} has run. */
  CompletableFuture<Link> opened() {
    return opened;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    lastReceivedMillis = nowMillis();
    lastUsedMillis = lastReceivedMillis;
    scheduleIdleCheck(idleTimeoutMillis);
    callHandler(() -> handler.opened(this));
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
        // The arrival of a Pong shows that the peer is alive; lastReceivedMillis records it.
      }
      default -> {
        lastUsedMillis = lastReceivedMillis;
        callHandler(() -> handler.received(this, frame));
      }
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (ctx.channel().isWritable()) {
      callHandler(() -> handler.writable(this));
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    heartbeatEnabled.set(false);
    closeCause = Optional.of(closeCause.orElse(CloseCause.REMOTE));
    callHandler(() -> handler.closed(this, closeReason));
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    closeAfterFailure(cause);
  }

  private void closeAfterFailure(Throwable cause) {
    Throwable rootCause =
        (cause instanceof DecoderException || cause instanceof EncoderException)
                && cause.getCause() != null
            ? cause.getCause()
            : cause;
    if (rootCause instanceof TanagerException rejected) {
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
      closeWith(CloseCause.FAULT, "connection failed: " + rootCause.getMessage());
    }
  }

  @Override
  public void send(Frame frame) {
    lastUsedMillis = nowMillis();
    channel
        .writeAndFlush(frame)
        .addListener(
            (ChannelFutureListener)
                future -> {
                  if (future.cause() instanceof EncoderException) {
                    closeAfterFailure(future.cause());
                  }
                });
  }

  @Override
  public void close() {
    channel.eventLoop().execute(() -> closeWith(CloseCause.LOCAL, "closed by this process"));
  }

  @Override
  public boolean isWritable() {
    return channel.isWritable();
  }

  @Override
  public void setHeartbeat(boolean enabled) {
    if (heartbeatEnabled.getAndSet(enabled) != enabled && enabled) {
      channel.eventLoop().execute(this::startHeartbeat);
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

  private void startHeartbeat() {
    // The silence timeout starts now: without the heartbeat, no frame was required to arrive.
    heartbeatStartedMillis = nowMillis();
    if (!heartbeatScheduled && channel.isActive()) {
      heartbeatScheduled = true;
      sendPing();
      scheduleHeartbeat();
    }
  }

  private void scheduleHeartbeat() {
    heartbeatDueMillis = nowMillis() + timings.pingIntervalMillis();
    channel.eventLoop().schedule(this::checkHeartbeat, timings.pingIntervalMillis(), MILLISECONDS);
  }

  private void checkHeartbeat() {
    if (!heartbeatEnabled.get() || !channel.isActive()) {
      heartbeatScheduled = false;
      return;
    }
    long now = nowMillis();
    long silentMillis = now - Math.max(lastReceivedMillis, heartbeatStartedMillis);
    boolean isSilent = silentMillis >= timings.silenceTimeoutMillis();
    // After a pause of this process, frames that have arrived may not be read yet. They are read
    // before the next check.
    boolean isLate = now - heartbeatDueMillis >= timings.pingIntervalMillis();
    isSilenceUnconfirmed = isSilent && isLate && !isSilenceUnconfirmed;
    if (isSilent && !isSilenceUnconfirmed) {
      EventLog.emit(LogEvent.LINK_SILENT, "remote", remoteAddress(), "quietMillis", silentMillis);
      closeWith(CloseCause.SILENT, "silent: no frame received for " + silentMillis + " ms");
      return;
    }
    // A frame that arrived within the last interval makes a ping unnecessary.
    if (now - lastReceivedMillis >= timings.pingIntervalMillis()) {
      sendPing();
    }
    scheduleHeartbeat();
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
    long idleMillis = nowMillis() - lastUsedMillis;
    if (idleMillis >= idleTimeoutMillis && !heartbeatEnabled.get()) {
      closeWith(CloseCause.IDLE, "idle: not used for " + idleMillis + " ms");
    } else {
      scheduleIdleCheck(Math.max(idleTimeoutMillis - idleMillis, timings.pingIntervalMillis()));
    }
  }

  private void closeWith(CloseCause cause, String reason) {
    if (channel.isActive() && closeCause.isEmpty()) {
      closeCause = Optional.of(cause);
      closeReason = reason;
      channel.close();
    }
  }

  private void callHandler(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException e) {
      EventLog.emit(LogEvent.LINK_HANDLER_FAILED, e, "remote", remoteAddress());
      closeWith(CloseCause.FAULT, "link handler failed: " + e);
    }
  }

  private static long nowMillis() {
    return NANOSECONDS.toMillis(System.nanoTime());
  }
}
