package org.tanagerbank.dispatch;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;

/** Passes writes on, but never tells that they are complete. Confined to its event loop. */
final class UnfinishedWrites extends ChannelOutboundHandlerAdapter {
  @Override
  public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
    var unused = ctx.write(message);
  }
}
