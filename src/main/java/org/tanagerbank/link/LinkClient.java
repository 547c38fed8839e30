package org.tanagerbank.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.Lifecycle;
import org.tanagerbank.request.TanagerException;

/**
 * Opens links to other processes.
 *
 * <p>Owns an event loop group from start to stop, and is thread-safe during that time.
 */
public final class LinkClient implements Lifecycle {
  private final LinkTimings timings;
  private final LinkTraffic traffic = LinkTraffic.create();
  private EventLoopGroup group;

  private LinkClient(LinkTimings timings) {
    this.timings = timings;
  }

  /** Returns a client that is not started. */
  public static LinkClient create() {
    return new LinkClient(LinkTimings.DEFAULT);
  }

  static LinkClient create(LinkTimings timings) {
    return new LinkClient(timings);
  }

  @Override
  public void start() {
    group =
        new NioEventLoopGroup(
            LinkPipeline.EVENT_LOOP_THREADS, new DefaultThreadFactory("link-client"));
  }

  @Override
  public void stop() {
    if (group != null) {
      LinkPipeline.shutDown(group);
    }
  }

  /** Returns the counters of the bytes sent and received on all links of this client. */
  public LinkTraffic traffic() {
    return traffic;
  }

  /**
   * Opens a link. The handler's {@code opened} method runs before the future completes.
   *
   * @return a future of the open link; if the peer cannot be reached, the future fails with a
   *     {@link TanagerException} of code {@code UPSTREAM_LOST} and verdict {@code NOT_RUN}, and the
   *     handler is never called
   */
  public CompletableFuture<Link> open(InetSocketAddress address, LinkHandler handler) {
    LinkChannel link =
        new LinkChannel(handler, timings, timings.openerIdleTimeoutMillis(), traffic.child());
    ChannelFuture connectFuture =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timings.connectTimeoutMillis())
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.WRITE_BUFFER_WATER_MARK, LinkPipeline.WRITE_BUFFER_WATER_MARK)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    LinkPipeline.install(channel, link);
                  }
                })
            .connect(address);
    connectFuture.addListener(
        (ChannelFutureListener)
            future -> {
              if (!future.isSuccess()) {
                link.opened().completeExceptionally(unreachable(address, future.cause()));
              }
            });
    return link.opened();
  }

  private static TanagerException unreachable(InetSocketAddress address, Throwable cause) {
    return TanagerException.failure(
        ErrorCode.UPSTREAM_LOST, "cannot open a link to " + address + ": " + cause, cause);
  }
}
