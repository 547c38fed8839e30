package org.tanagerbank.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import jdk.net.ExtendedSocketOptions;

/** Opens TCP connections. Not thread-safe; confined to one event loop. */
final class TcpConnector implements Connector {
  /**
   * The connect timeout in milliseconds. A server on the same platform accepts within milliseconds,
   * so a longer wait means that it is down.
   */
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  /**
   * The idle time before the first TCP keepalive probe and the interval between probes, in seconds.
   * The probes detect connections that failed without a reset.
   */
  private static final int KEEPALIVE_SECONDS = 1;

  /** The number of unanswered keepalive probes after which a connection is closed. */
  private static final int KEEPALIVE_PROBES = 3;

  /**
   * The bytes that are read from a connection before others have their turn: {@code MAX_READS}
   * reads of at most {@code MAX_READ_BYTES}. With 60 connections that bring bytes without end, a
   * turn of the event loop handles 1 MB.
   */
  private static final int MAX_READS = 2;

  private static final int MAX_READ_BYTES = 8 << 10;
  private static final int MIN_READ_BYTES = 64;
  private static final int FIRST_READ_BYTES = 2 << 10;

  private static final RecvByteBufAllocator READS =
      new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
          .maxMessagesPerRead(MAX_READS);

  private final EventLoop loop;

  TcpConnector(EventLoop loop) {
    this.loop = loop;
  }

  @Override
  public ChannelFuture connect(InetSocketAddress address, ChannelHandler... handlers) {
    return new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.RCVBUF_ALLOCATOR, READS)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEPALIVE_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBES)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel.pipeline().addLast(handlers);
              }
            })
        .connect(address);
  }
}
