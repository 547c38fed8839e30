package org.tanagerbank.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalInt;

/**
 * One connection of a caller.
 *
 * <p>Requests are handled one at a time in their order; reading goes on meanwhile, so that a caller
 * that closes is noticed at once. Confined to its event loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements CallerExchange {
  /** Messages of later requests that are kept while one is handled; then reading pauses. */
  private static final int MAX_QUEUED_MESSAGES = 64;

  private final CallerServer server;
  private final ResponseEncoder encoder;
  private final Deque<Object> queued = new ArrayDeque<>();
  private SocketChannel channel;
  private HttpRequest head;
  private CompositeByteBuf body;
  private boolean handling;
  private boolean closing;
  private boolean keepAlive;
  private boolean chunked;
  private long lastReadMillis;
  private long headStartedMillis = -1;
  private long closingSinceMillis;
  private Runnable onGone;
  private Runnable onWritable;

  CallerConnection(CallerServer server, ResponseEncoder encoder) {
    this.server = server;
    this.encoder = encoder;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    channel = (SocketChannel) ctx.channel();
    lastReadMillis = server.nowMillis();
    server.opened(this);
    ctx.fireChannelActive();
  }

  /** Called before the decoder has seen bytes that arrived. */
  void bytesArrived() {
    lastReadMillis = server.nowMillis();
    if (!handling && head == null && headStartedMillis < 0) {
      headStartedMillis = lastReadMillis;
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (closing) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (handling) {
      queued.addLast(message);
      if (queued.size() >= MAX_QUEUED_MESSAGES) {
        channel.config().setAutoRead(false);
      }
      return;
    }
    process(message);
  }

  private void process(Object message) {
    if (message instanceof HttpRequest request) {
      onHead(request);
    }
    if (message instanceof HttpContent content) {
      try {
        if (!closing && head != null) {
          onContent(content);
        }
      } finally {
        content.release();
      }
    }
  }

  private void onHead(HttpRequest request) {
    headStartedMillis = -1;
    head = request;
    keepAlive = HttpUtil.isKeepAlive(request);
    encoder.expectHead(request.method().equals(HttpMethod.HEAD));
    OptionalInt fault = RequestCheck.fault(request, server.limits());
    if (fault.isPresent()) {
      reject(fault.getAsInt());
      return;
    }
    if (HttpUtil.is100ContinueExpected(request)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
    body = channel.alloc().compositeBuffer(Integer.MAX_VALUE);
  }

  private void onContent(HttpContent content) {
    if (content.decoderResult().isFailure()) {
      reject(HttpResponseStatus.BAD_REQUEST.code());
      return;
    }
    ByteBuf piece = content.content();
    if (piece.isReadable()) {
      body.addComponent(true, piece.retain());
      if (body.readableBytes() > server.limits().maxBodyBytes()) {
        reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE.code());
        return;
      }
    }
    if (content instanceof LastHttpContent) {
      handle();
    }
  }

  private void handle() {
    handling = true;
    ByteBuf whole = body;
    body = null;
    HttpRequest request = head;
    server
        .handler()
        .handle(
            new CallerRequest(
                request.method(), request.uri(), request.headers(), whole, server.nowMillis()),
            this);
  }

  /** Answers a request that is not handled, and closes: what follows cannot be read safely. */
  private void reject(int status) {
    handling = true;
    keepAlive = false;
    server.rejected(status);
    respond(status, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
  }

  @Override
  public void respond(int status, HttpHeaders headers, ByteBuf content) {
    if (!channel.isActive()) {
      content.release();
      return;
    }
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content);
    response.headers().add(headers);
    if (status != HttpResponseStatus.NO_CONTENT.code()
        && status != HttpResponseStatus.NOT_MODIFIED.code()) {
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
    }
    sayWhetherKept(response);
    channel.writeAndFlush(response);
    finish();
  }

  @Override
  public void begin(int status, HttpHeaders headers) {
    HttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    response.headers().add(headers);
    chunked = head.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
    if (chunked) {
      response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    } else {
      // An HTTP/1.0 caller finds the end of the body by the end of the connection.
      keepAlive = false;
    }
    sayWhetherKept(response);
    channel.writeAndFlush(response);
  }

  private void sayWhetherKept(HttpResponse response) {
    keepAlive = keepAlive && !server.isDraining();
    if (!keepAlive) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    } else if (head != null && head.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
    }
  }

  @Override
  public void write(ByteBuf piece) {
    channel.writeAndFlush(new DefaultHttpContent(piece));
  }

  @Override
  public void end() {
    channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    finish();
  }

  @Override
  public void abort() {
    onGone = null;
    closing = true;
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
  }

  /** Ends an exchange, and goes on with the next request or closes. */
  private void finish() {
    onGone = null;
    onWritable = null;
    boolean bodyUnread = body != null;
    releaseBody();
    head = null;
    if (!keepAlive) {
      closeGracefully(bodyUnread);
      return;
    }
    handling = false;
    lastReadMillis = server.nowMillis();
    while (!handling && !closing && !queued.isEmpty()) {
      process(queued.pollFirst());
    }
    if (queued.size() < MAX_QUEUED_MESSAGES) {
      channel.config().setAutoRead(true);
    }
  }

  /**
   * Closes for sending only, and reads on for a while: closing a socket with unread bytes would
   * reset it, and the caller might lose the response.
   */
  private void closeGracefully(boolean bodyUnread) {
    closing = true;
    closingSinceMillis = server.nowMillis();
    releaseQueued();
    channel.config().setAutoRead(true);
    channel
        .writeAndFlush(Unpooled.EMPTY_BUFFER)
        .addListener(
            f -> {
              if (bodyUnread) {
                channel.shutdownOutput();
              } else {
                channel.close();
              }
            });
  }

  /** Closes the connection when it waits for a request, or after the one that is handled. */
  void closeIfIdle() {
    keepAlive = false;
    if (!closing && !isBusy()) {
      closing = true;
      channel.close();
    }
  }

  /** Returns whether a request is being read or handled, or its response not wholly sent. */
  boolean isBusy() {
    boolean reading = head != null || headStartedMillis >= 0;
    return hasUnsentBytes() || (!closing && (handling || reading));
  }

  private boolean hasUnsentBytes() {
    ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
    return unsent != null && unsent.totalPendingWriteBytes() > 0;
  }

  boolean isHandling() {
    return handling && !closing;
  }

  /** Closes the connection when a limit of time has passed. */
  void checkTimes(long nowMillis) {
    if (closing) {
      if (nowMillis - closingSinceMillis > CallerServer.LINGER_MILLIS) {
        channel.close();
      }
      return;
    }
    if (handling) {
      return;
    }
    boolean headLate =
        headStartedMillis >= 0
            && nowMillis - headStartedMillis > server.limits().headerTimeoutMillis();
    boolean bodyLate =
        head != null && nowMillis - lastReadMillis > server.limits().idleTimeoutMillis();
    if (headLate || bodyLate) {
      reject(HttpResponseStatus.REQUEST_TIMEOUT.code());
      return;
    }
    boolean waiting = head == null && headStartedMillis < 0;
    if (waiting && nowMillis - lastReadMillis > server.limits().idleTimeoutMillis()) {
      closing = true;
      channel.close();
    }
  }

  @Override
  public boolean isWritable() {
    return channel.isWritable();
  }

  @Override
  public void onWritable(Runnable action) {
    onWritable = action;
  }

  @Override
  public void onGone(Runnable action) {
    onGone = action;
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (channel.isWritable() && onWritable != null) {
      onWritable.run();
    }
    ctx.fireChannelWritabilityChanged();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    closing = true;
    server.closed(this);
    releaseBody();
    releaseQueued();
    Runnable action = onGone;
    onGone = null;
    if (action != null) {
      action.run();
    }
    ctx.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    // A connection that breaks is ordinary; channelInactive follows.
    ctx.close();
  }

  private void releaseBody() {
    if (body != null) {
      body.release();
      body = null;
    }
  }

  private void releaseQueued() {
    queued.forEach(ReferenceCountUtil::release);
    queued.clear();
  }
}
