package org.tanagerbank.caller;

import io.netty.buffer.ByteBuf;
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
import java.util.OptionalInt;

/**
 * Handles one HTTP connection of a caller.
 *
 * <p>Requests are handled one at a time, in the order in which they arrive. The connection is read
 * while a request is handled, so that a disconnect of the caller is detected at once. Confined to
 * its event loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements CallerExchange {
  private final CallerServer server;
  private final ResponseEncoder encoder;
  private final QueuedMessages queuedMessages = new QueuedMessages();
  private SocketChannel channel;
  private HttpRequest requestHead;
  private CopiedBody requestBody;
  private boolean isHandling;
  private boolean isClosing;
  private boolean keepAlive;
  private boolean isChunked;
  private long lastReadMillis;
  private long headStartedMillis = -1;
  private long closingSinceMillis;
  private Runnable disconnectAction;
  private Runnable onWritable;

  CallerConnection(CallerServer server, ResponseEncoder encoder) {
    this.server = server;
    this.encoder = encoder;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    channel = (SocketChannel) ctx.channel();
    lastReadMillis = server.nowMillis();
    server.onConnectionOpened(this);
    ctx.fireChannelActive();
  }

  /** Records the arrival of bytes. Called before they are decoded. */
  void onBytesRead() {
    lastReadMillis = server.nowMillis();
    if (!isHandling && requestHead == null && headStartedMillis < 0) {
      headStartedMillis = lastReadMillis;
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (isClosing) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (isHandling) {
      queuedMessages.add(message);
      if (queuedMessages.isFull()) {
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
        if (!isClosing && requestHead != null) {
          onContent(content);
        }
      } finally {
        content.release();
      }
    }
  }

  private void onHead(HttpRequest request) {
    headStartedMillis = -1;
    requestHead = request;
    keepAlive = HttpUtil.isKeepAlive(request);
    encoder.setHeadResponse(request.method().equals(HttpMethod.HEAD));
    OptionalInt rejection = RequestHeadValidator.rejectionStatus(request, server.limits());
    if (rejection.isPresent()) {
      reject(rejection.getAsInt());
      return;
    }
    if (HttpUtil.is100ContinueExpected(request)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
    requestBody = new CopiedBody(channel.alloc());
  }

  private void onContent(HttpContent content) {
    if (content.decoderResult().isFailure()) {
      reject(HttpResponseStatus.BAD_REQUEST.code());
      return;
    }
    ByteBuf part = content.content();
    if (part.isReadable() && requestBody.add(part) > server.limits().maxBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE.code());
      return;
    }
    if (content instanceof LastHttpContent) {
      handleRequest();
    }
  }

  private void handleRequest() {
    isHandling = true;
    ByteBuf body = requestBody.take();
    requestBody = null;
    HttpRequest head = requestHead;
    CallerRequest request =
        new CallerRequest(head.method(), head.uri(), head.headers(), body, server.nowMillis());
    // The end of the connection may be unread behind the request. It is read before this task runs.
    channel.eventLoop().execute(() -> handleUnlessDisconnected(request));
  }

  private void handleUnlessDisconnected(CallerRequest request) {
    if (channel.isActive()) {
      server.handler().handle(request, this);
    } else {
      request.body().release();
    }
  }

  /**
   * Responds to a request that is not passed to the handler, and closes the connection, because the
   * bytes that follow cannot be parsed safely.
   */
  private void reject(int status) {
    isHandling = true;
    keepAlive = false;
    server.onRequestRejected(status);
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
    setConnectionHeader(response);
    channel.writeAndFlush(response);
    finishExchange();
  }

  @Override
  public void beginResponse(int status, HttpHeaders headers) {
    HttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    response.headers().add(headers);
    isChunked = requestHead.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
    if (isChunked) {
      response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    } else {
      // For HTTP/1.0, the end of the connection marks the end of the body.
      keepAlive = false;
    }
    setConnectionHeader(response);
    channel.writeAndFlush(response);
  }

  private void setConnectionHeader(HttpResponse response) {
    keepAlive = keepAlive && !server.isDraining();
    if (!keepAlive) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    } else if (requestHead != null && requestHead.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
    }
  }

  @Override
  public void write(ByteBuf part) {
    channel.writeAndFlush(new DefaultHttpContent(part));
  }

  @Override
  public void endResponse() {
    channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    finishExchange();
  }

  @Override
  public void abort() {
    disconnectAction = null;
    isClosing = true;
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
  }

  /** Ends an exchange, then processes the next request or closes the connection. */
  private void finishExchange() {
    disconnectAction = null;
    onWritable = null;
    boolean hasUnreadBody = requestBody != null;
    releaseBody();
    requestHead = null;
    if (!keepAlive) {
      closeGracefully(hasUnreadBody);
      return;
    }
    isHandling = false;
    lastReadMillis = server.nowMillis();
    while (!isHandling && !isClosing && !queuedMessages.isEmpty()) {
      process(queuedMessages.remove());
    }
    if (!queuedMessages.isFull()) {
      channel.config().setAutoRead(true);
    }
  }

  /**
   * Closes the connection once the response is sent. If the request body was not read whole, closes
   * only the sending side and reads on for up to {@link CallerServer#LINGER_MILLIS}: closing a
   * socket with unread bytes resets it, and the caller could lose the response.
   */
  private void closeGracefully(boolean hasUnreadBody) {
    isClosing = true;
    closingSinceMillis = server.nowMillis();
    queuedMessages.clear();
    channel.config().setAutoRead(true);
    channel
        .writeAndFlush(Unpooled.EMPTY_BUFFER)
        .addListener(
            f -> {
              if (hasUnreadBody) {
                channel.shutdownOutput();
              } else {
                channel.close();
              }
            });
  }

  /**
   * Closes the connection if no request is in progress, and otherwise after the response to the
   * current request.
   */
  void closeIfIdle() {
    keepAlive = false;
    if (!isClosing && !isBusy()) {
      isClosing = true;
      channel.close();
    }
  }

  /** Rejects a request that has not arrived whole, if there is one. */
  void rejectUnread() {
    if (!isClosing && !isHandling && isReading()) {
      reject(HttpResponseStatus.SERVICE_UNAVAILABLE.code());
    }
  }

  /** Returns whether a request is being read or handled, or a response is not fully sent. */
  boolean isBusy() {
    return hasUnsentBytes() || (!isClosing && (isHandling || isReading()));
  }

  private boolean isReading() {
    return requestHead != null || headStartedMillis >= 0;
  }

  private boolean hasUnsentBytes() {
    ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
    return unsent != null && unsent.totalPendingWriteBytes() > 0;
  }

  boolean isHandling() {
    return isHandling && !isClosing;
  }

  /** Rejects an overdue request, and closes the connection when a time limit has passed. */
  void checkTimeouts(long nowMillis) {
    if (isClosing) {
      if (nowMillis - closingSinceMillis > CallerServer.LINGER_MILLIS) {
        channel.close();
      }
      return;
    }
    if (isHandling) {
      return;
    }
    boolean isHeadOverdue =
        headStartedMillis >= 0
            && nowMillis - headStartedMillis > server.limits().headerTimeoutMillis();
    boolean isBodyOverdue =
        requestHead != null && nowMillis - lastReadMillis > server.limits().idleTimeoutMillis();
    if (isHeadOverdue || isBodyOverdue) {
      reject(HttpResponseStatus.REQUEST_TIMEOUT.code());
      return;
    }
    if (!isReading() && nowMillis - lastReadMillis > server.limits().idleTimeoutMillis()) {
      isClosing = true;
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
  public void onDisconnect(Runnable action) {
    disconnectAction = action;
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
    isClosing = true;
    server.onConnectionClosed(this);
    releaseBody();
    queuedMessages.clear();
    Runnable action = disconnectAction;
    disconnectAction = null;
    if (action != null) {
      action.run();
    }
    ctx.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    // Broken connections are expected; channelInactive follows and cleans up.
    ctx.close();
  }

  private void releaseBody() {
    if (requestBody != null) {
      requestBody.release();
      requestBody = null;
    }
  }
}
