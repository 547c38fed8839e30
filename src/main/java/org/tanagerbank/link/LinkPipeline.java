package org.tanagerbank.link;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.flush.FlushConsolidationHandler;

/** The channel setup that {@link LinkClient} and {@link LinkServer} share. Stateless. */
final class LinkPipeline {
  /** The number of event loop threads of one client or server. */
  static final int EVENT_LOOP_THREADS = 2;

  /** The low and high marks, in bytes, of a link's send buffer; senders pause at the high mark. */
  static final WriteBufferWaterMark WRITE_BUFFER_WATER_MARK =
      new WriteBufferWaterMark(256 << 10, 1 << 20);

  private static final long SHUTDOWN_TIMEOUT_MILLIS = 2_000;

  private LinkPipeline() {}

  static void install(Channel channel, LinkChannel link) {
    channel
        .pipeline()
        .addLast(new FlushConsolidationHandler())
        .addLast(new FrameCodec(link.traffic()))
        .addLast(link);
  }

  static void shutDown(EventLoopGroup group) {
    group
        .shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, MILLISECONDS)
        .awaitUninterruptibly(SHUTDOWN_TIMEOUT_MILLIS);
  }
}
