package org.tanagerbank.link;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.flush.FlushConsolidationHandler;

/** The parts that links of both directions share. Stateless. */
final class LinkPipeline {
  /** Event loop threads of one client or server. */
  static final int THREADS = 2;

  /** A sender pauses when this many bytes wait in a link's buffer. */
  static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(256 << 10, 1 << 20);

  private static final long SHUTDOWN_LIMIT_MILLIS = 2_000;

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
        .shutdownGracefully(0, SHUTDOWN_LIMIT_MILLIS, MILLISECONDS)
        .awaitUninterruptibly(SHUTDOWN_LIMIT_MILLIS);
  }
}
