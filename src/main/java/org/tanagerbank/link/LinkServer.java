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
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.Lifecycle;
import org.tanagerbank.contract.TanagerException;

/**
 * Accepts links from other processes. Owns a listening socket and an event loop group between start
 * and stop.
 *
 * <p>Thread-safe between start and stop.
 */
public final class LinkServer implements Lifecycle {
  private final InetSocketAddress bind;
  private final LinkHandler handler;
  private final LinkTimings timings;
  private final LinkTraffic traffic = LinkTraffic.create();
  private EventLoopGroup group;
  private Channel listening;

  private LinkServer(InetSocketAddress bind, LinkHandler handler, LinkTimings timings) {
    this.bind = bind;
    this.handler = handler;
    this.timings = timings;
  }

  /** Returns a server that is not started. Port 0 stands for any free port. */
  public static LinkServer create(InetSocketAddress bind, LinkHandler handler) {
    return new LinkServer(bind, handler, LinkTimings.DEFAULT);
  }

  static LinkServer create(InetSocketAddress bind, LinkHandler handler, LinkTimings timings) {
    return new LinkServer(bind, handler, timings);
  }

  @Override
  public void start() {
    group = new NioEventLoopGroup(LinkPipeline.THREADS, new DefaultThreadFactory("link-server"));
    ChannelFuture binding =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, LinkPipeline.WATER_MARK)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    LinkPipeline.install(channel, newLink());
                  }
                })
            .bind(bind)
            .awaitUninterruptibly();
    if (!binding.isSuccess()) {
      stop();
      throw TanagerException.failure(
          ErrorCode.PORT_IN_USE, "cannot listen on " + bind, binding.cause());
    }
    listening = binding.channel();
  }

  @Override
  public void stop() {
    if (group != null) {
      LinkPipeline.shutDown(group);
    }
  }

  /** Returns the address that the server listens on, with the actual port. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listening.localAddress();
  }

  /** Returns the bytes carried by all links of this server. */
  public LinkTraffic traffic() {
    return traffic;
  }

  private LinkChannel newLink() {
    return new LinkChannel(handler, timings, timings.acceptorIdle(), traffic.child());
  }
}
