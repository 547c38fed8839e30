package org.tanagerbank.standin.direct;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * One connection of a caller, which carries one request at a time.
 *
 * <p>The connection is read while a request is served, so that its close is noticed at once; parts
 * of later requests wait until the response is sent. Confined to the event loop of the engine.
 */
final class EngineConnection extends ChannelInboundHandlerAdapter {
  /** The number of decoded parts of later requests at which reading pauses. */
  private static final int MAX_QUEUED_PARTS = 64;

  private static final ByteBuf CONTINUE =
      Unpooled.unreleasableBuffer(
          ResponseFormatter.bytes(
              HttpVersion.HTTP_1_1 + " " + HttpResponseStatus.CONTINUE + "\r\n\r\n"));

  private final DirectEngine engine;
  private final Deque<Object> queuedParts = new ArrayDeque<>();
  private SocketChannel channel;
  private HttpRequest head;
  private EngineRun run;
  private Hasher bodyHash;
  private long bodyBytes;

  /** Whether a request is complete and its response is not. */
  private boolean isServing;

  private boolean isResponseStarted;
  private boolean isClosing;

  EngineConnection(DirectEngine engine) {
    this.engine = engine;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    channel = (SocketChannel) ctx.channel();
    if (engine.accept(this)) {
      ctx.fireChannelActive();
    } else {
      close(/* resets= */ true);
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (isClosing) {
      ReferenceCountUtil.release(message);
    } else if (isServing) {
      queuedParts.addLast(message);
      if (queuedParts.size() >= MAX_QUEUED_PARTS) {
        channel.config().setAutoRead(false);
      }
    } else {
      process(message);
    }
  }

  private void process(Object message) {
    try {
      if (message instanceof HttpRequest request) {
        onHead(request);
      }
      if (message instanceof HttpContent content && !isClosing) {
        onContent(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void onHead(HttpRequest request) {
    if (request.decoderResult().isFailure()) {
      close(/* resets= */ false);
      return;
    }
    head = request;
    isResponseStarted = false;
    bodyBytes = 0;
    bodyHash = Hashing.murmur3_32_fixed().newHasher();
    if (engine.isQuery(request)) {
      return;
    }
    run = engine.driver().arrive(engine.codec().decode(request));
    boolean hasBody = HttpUtil.isTransferEncodingChunked(request) || declaredLength(request) > 0;
    if (run.faults.earlyRefusal() && hasBody) {
      refuseEarly();
    } else if (HttpUtil.is100ContinueExpected(request)) {
      channel.writeAndFlush(CONTINUE.duplicate());
    }
  }

  private static long declaredLength(HttpRequest request) {
    return HttpUtil.getContentLength(request, 0L);
  }

  /** Refuses the request and reads its body a little later, as part of no request. */
  private void refuseEarly() {
    engine.driver().log().fault(run, "earlyRefusal");
    long pauseMicros = run.faults.bodyPauseMicros();
    engine.driver().refuseEarly(run, responder());
    channel.config().setAutoRead(false);
    var unused =
        channel
            .eventLoop()
            .schedule(() -> channel.config().setAutoRead(true), pauseMicros, TimeUnit.MICROSECONDS);
  }

  private void onContent(HttpContent content) {
    if (content.decoderResult().isFailure()) {
      close(/* resets= */ false);
      return;
    }
    bodyBytes += content.content().readableBytes();
    bodyHash.putBytes(content.content().nioBuffer());
    if (!(content instanceof LastHttpContent)) {
      return;
    }
    if (run != null) {
      isServing = true;
      engine.driver().submit(run, responder());
    } else if (engine.isQuery(head)) {
      isServing = true;
      send(engine.answerQuery(head, closes()), isWritten -> {});
      finishExchange();
    } else {
      // The end of a body whose request was refused before.
      head = null;
    }
  }

  private RunResponder responder() {
    return new RunResponder(run, this, engine.driver(), engine.formatter(), this::received);
  }

  /** Returns the method and body of the request, for the record. */
  private String received() {
    return head.method() + " " + bodyBytes + " " + bodyHash.hash();
  }

  /** Returns whether the connection is closed after the current response. */
  boolean closes() {
    return engine.isDraining() || !HttpUtil.isKeepAlive(head);
  }

  /** Sends a part of the response to the current request. */
  void send(ByteBuf bytes, Consumer<Boolean> onWritten) {
    isResponseStarted = true;
    channel.writeAndFlush(bytes).addListener(f -> onWritten.accept(f.isSuccess()));
  }

  /** Sends a response that belongs to no request of this connection. */
  void sendExtra(ByteBuf response) {
    channel.writeAndFlush(response);
  }

  /** Sends an extra response after a delay, unless another response has begun by then. */
  void sendLater(ByteBuf response, long delayMicros, Runnable beforeSend) {
    var unused =
        channel
            .eventLoop()
            .schedule(
                () -> {
                  if (channel.isActive() && !isClosing && !(isServing && isResponseStarted)) {
                    beforeSend.run();
                    sendExtra(response);
                  } else {
                    response.release();
                  }
                },
                delayMicros,
                TimeUnit.MICROSECONDS);
  }

  /** Sends bytes, then closes or resets the connection. */
  void sendAndBreakOff(ByteBuf bytes, boolean resets) {
    run = null;
    isClosing = true;
    channel.writeAndFlush(bytes).addListener(f -> close(resets));
  }

  /** Leaves the current request without a response until the caller closes the connection. */
  void hang() {
    run = null;
  }

  /** Ends the current exchange, then serves the next request or closes the connection. */
  void finishExchange() {
    boolean closes = closes();
    run = null;
    if (closes) {
      isClosing = true;
      channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> close(false));
      return;
    }
    if (!isServing) {
      // An early refusal; the rest of the body is still to be read.
      return;
    }
    isServing = false;
    head = null;
    while (!isServing && !isClosing && !queuedParts.isEmpty()) {
      process(queuedParts.removeFirst());
    }
    if (queuedParts.size() < MAX_QUEUED_PARTS) {
      channel.config().setAutoRead(true);
    }
  }

  /** Closes the connection if it serves no request. */
  void closeIfIdle() {
    if (head == null && !isClosing) {
      close(/* resets= */ false);
    }
  }

  private void close(boolean resets) {
    isClosing = true;
    if (resets) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    }
    channel.close();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof IdleStateEvent) {
      closeIfIdle();
    }
    ctx.fireUserEventTriggered(event);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    engine.onConnectionFailed(cause);
    close(/* resets= */ true);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    isClosing = true;
    queuedParts.forEach(ReferenceCountUtil::release);
    queuedParts.clear();
    engine.onClosed(this);
    if (run != null) {
      engine.driver().drop(run);
      run = null;
    }
    ctx.fireChannelInactive();
  }
}
