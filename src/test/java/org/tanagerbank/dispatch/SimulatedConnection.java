package org.tanagerbank.dispatch;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import com.google.common.collect.ImmutableSet;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.Optional;

/** A connection of a gateway to a simulated upstream, as that one sees it. Not thread-safe. */
final class SimulatedConnection {
  /** A request that was read completely. */
  record Request(String head, String body) {}

  final EmbeddedChannel channel;
  final int gateway;
  String requestId = "";
  String path = "";
  ImmutableSet<Long> parts = ImmutableSet.of();
  long endsAtMillis = Long.MAX_VALUE;
  boolean endsUpstream;
  private final StringBuilder received = new StringBuilder();

  SimulatedConnection(EmbeddedChannel channel, int gateway) {
    this.channel = channel;
    this.gateway = gateway;
  }

  /** Returns the next request, or empty until all of it has arrived. */
  Optional<Request> readRequest() {
    if (!channel.isActive()) {
      return Optional.empty();
    }
    for (ByteBuf piece = channel.readOutbound(); piece != null; piece = channel.readOutbound()) {
      received.append(piece.toString(ISO_8859_1));
      piece.release();
    }
    String text = received.toString();
    int headEnd = text.indexOf("\r\n\r\n");
    if (headEnd < 0) {
      return Optional.empty();
    }
    int length = Integer.parseInt(RawHead.header(text, "content-length", "0"));
    if (text.length() < headEnd + 4 + length) {
      return Optional.empty();
    }
    received.setLength(0);
    return Optional.of(new Request(text, text.substring(headEnd + 4)));
  }

  /** Sends bytes, unless the connection is closed. */
  void write(String text) {
    if (channel.isActive()) {
      channel.writeInbound(Unpooled.copiedBuffer(text, ISO_8859_1));
    }
  }
}
