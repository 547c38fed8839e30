package org.tanagerbank.upstream;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;

/** Opens connections to upstreams. Implementations are confined to one event loop. */
@FunctionalInterface
public interface Connector {
  /** Connects to an address with the given handlers in the pipeline of the channel. */
  ChannelFuture connect(InetSocketAddress address, ChannelHandler... handlers);

  /** Returns a connector that opens TCP connections on an event loop. */
  static Connector tcp(EventLoop loop) {
    return new TcpConnector(loop);
  }
}
