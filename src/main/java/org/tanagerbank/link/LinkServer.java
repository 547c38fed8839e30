package org.tanagerbank.link;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.Lifecycle;
import org.tanagerbank.request.TanagerException;

/**
 * Accepts links from other processes.
 *
 * <p>Owns a listening socket and an event loop group from start to stop, and is thread-safe during
 * that time.
 */
public final class LinkServer implements Lifecycle {
  private final InetSocketAddress bindAddress;
  private final LinkHandler handler;
  private final LinkTimings timings;
  private final LinkTraffic traffic = LinkTraffic.create();
  private EventLoopGroup group;
  private Channel serverChannel;

  private LinkServer(InetSocketAddress bindAddress, LinkHandler handler, LinkTimings timings) {
    this.bindAddress = bindAddress;
    this.handler = handler;
    this.timings = timings;
  }

  /** Returns a server that is not started. Port 0 selects any free port. */
  public static LinkServer create(InetSocketAddress bindAddress, LinkHandler handler) {
    return new LinkServer(bindAddress, handler, LinkTimings.DEFAULT);
  }

  static LinkServer create(
      InetSocketAddress bindAddress, LinkHandler handler, LinkTimings timings) {
    return new LinkServer(bindAddress, handler, timings);
  }

  @Override
  public void start() {
    group =
        new NioEventLoopGroup(
            LinkPipeline.EVENT_LOOP_THREADS, new DefaultThreadFactory("link-server"));
    ChannelFuture bindFuture =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK, LinkPipeline.WRITE_BUFFER_WATER_MARK)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    LinkPipeline.install(channel, newLink());
                  }
                })
            .bind(bindAddress)
            .awaitUninterruptibly();
    if (!bindFuture.isSuccess()) {
      stop();
      throw TanagerException.failure(
          ErrorCode.PORT_IN_USE, "cannot listen on " + bindAddress, bindFuture.cause());
    }
    serverChannel = bindFuture.channel();
  }

  @Override
  public void stop() {
    if (group != null) {
      LinkPipeline.shutDown(group);
    }
  }

  /** Returns the address that the started server listens on, with the actual port. */
  public InetSocketAddress address() {
    return (InetSocketAddress) serverChannel.localAddress();
  }

  /** Returns the counters of the bytes sent and received on all links of this server. */
  public LinkTraffic traffic() {
    return traffic;
  }

  private LinkChannel newLink() {
    return new LinkChannel(handler, timings, timings.acceptorIdleTimeoutMillis(), traffic.child());
  }
}
