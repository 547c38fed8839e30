package org.tanagerbank.upstream;

import static com.google.common.base.Preconditions.checkState;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.tanagerbank.upstream.ExchangeListener.HeadAction;

/**
 * One HTTP/1.1 connection to an upstream, used for one exchange at a time.
 *
 * <p>A connection is closed and never reused if it receives anything unexpected: bytes after a
 * complete response, a response without a request, a response that the listener skips, or a
 * response before the request was completely written. Not thread-safe; confined to the event loop
 * of its channel.
 */
public final class HttpConnection extends SimpleChannelInboundHandler<HttpObject> {
  /**
   * The time after reading was resumed, in milliseconds, in which everything that had waited for it
   * is read.
   */
  private static final long CATCH_UP_MILLIS = 500;

  /**
   * The skipped responses after which an exchange fails; each is logged. Upstreams repeat single
   * responses; many come from a fault that does not end.
   */
  private static final int MAX_SKIPPED_RESPONSES = 4;

  /** The interim responses after which an exchange fails. */
  private static final int MAX_INTERIM_RESPONSES = 16;

  /** The bytes in the bodies of skipped responses after which an exchange fails. */
  private static final long MAX_SKIPPED_BYTES = 1 << 20;

  private final ResponseDecoder decoder;
  private final LongSupplier clockMillis;
  private final Consumer<HttpConnection> onIdle;
  private final Consumer<HttpConnection> onClosed;
  private final RecentIds requestIds = new RecentIds();
  private Channel channel;
  private ExchangeListener listener;
  private boolean hasHead;
  private boolean isInformational;
  private boolean isSkipping;
  private boolean hasSkipped;
  private int skippedResponses;
  private int interimResponses;
  private long skippedBytes;
  private boolean hasSentHeadRequest;
  private boolean isReset;
  private ResponseEnd responseEnd;
  private boolean keepAlive;
  private boolean requestWritten;
  private boolean endPending;
  private boolean isReading = true;

  /** The time at which reading stopped, if what has arrived since may not all be read. */
  private OptionalLong behindSinceMillis = OptionalLong.empty();

  private long readingSinceMillis;
  private long openedMillis;
  private long idleSinceMillis;
  private long keepAliveMillis;

  HttpConnection(
      ResponseDecoder decoder,
      LongSupplier clockMillis,
      Consumer<HttpConnection> onIdle,
      Consumer<HttpConnection> onClosed) {
    this.decoder = decoder;
    this.clockMillis = clockMillis;
    this.onIdle = onIdle;
    this.onClosed = onClosed;
  }

  void opened(Channel opened) {
    channel = opened;
    openedMillis = clockMillis.getAsLong();
    idleSinceMillis = openedMillis;
  }

  /** Returns the time at which the connection was opened, by the monotonic clock. */
  public long openedMillis() {
    return openedMillis;
  }

  /**
   * Sends a request with an id, which responses to it repeat.
   *
   * @throws IllegalStateException if an exchange is in progress
   */
  public void send(String requestId, FullHttpRequest request, ExchangeListener responseListener) {
    requestIds.add(requestId);
    send(request, responseListener);
  }

  /** Returns whether a request with an id was sent lately; its response may come once more. */
  boolean hasCarried(String requestId) {
    return requestIds.contains(requestId);
  }

  /**
   * Sends a request and passes its response to the listener.
   *
   * @throws IllegalStateException if an exchange is in progress
   */
  public void send(FullHttpRequest request, ExchangeListener responseListener) {
    checkState(listener == null, "an exchange is in progress");
    listener = responseListener;
    hasHead = false;
    isInformational = false;
    isSkipping = false;
    skippedResponses = 0;
    interimResponses = 0;
    skippedBytes = 0;
    endPending = false;
    requestWritten = false;
    isReading = true;
    behindSinceMillis = OptionalLong.empty();
    boolean isHeadRequest = request.method().equals(HttpMethod.HEAD);
    hasSentHeadRequest |= isHeadRequest;
    decoder.expectHeadResponse(isHeadRequest);
    channel
        .writeAndFlush(request)
        .addListener(
            f -> {
              requestWritten = f.isSuccess();
              if (!f.isSuccess()) {
                channel.close();
              }
            });
  }

  /** Ends the exchange in progress without a call to its listener, and closes the connection. */
  public void cancel() {
    listener = null;
    close();
  }

  /** Stops or resumes reading, for callers that read more slowly than the upstream sends. */
  public void setReading(boolean reading) {
    long now = clockMillis.getAsLong();
    if (isReading && !reading && caughtUpMillis(now) == now) {
      behindSinceMillis = OptionalLong.of(now);
    }
    if (!isReading && reading) {
      readingSinceMillis = now;
    }
    isReading = reading;
    channel.config().setAutoRead(reading);
  }

  /**
   * Returns the latest time up to which everything that had arrived was certainly read, which is
   * earlier than now while the caller reads slowly.
   */
  public long caughtUpMillis(long nowMillis) {
    boolean isCaughtUp = isReading && nowMillis - readingSinceMillis >= CATCH_UP_MILLIS;
    return isCaughtUp ? nowMillis : behindSinceMillis.orElse(nowMillis);
  }

  /** Closes the connection; an exchange in progress fails. */
  public void close() {
    channel.close();
  }

  /** Returns whether neither side has closed the connection. */
  public boolean isOpen() {
    return channel.isActive() && !isReset;
  }

  long idleMillis(long nowMillis) {
    return nowMillis - idleSinceMillis;
  }

  /**
   * Returns the idle time in milliseconds after which the upstream closes the connection, or 0 if
   * the upstream did not announce it.
   */
  long keepAliveMillis() {
    return keepAliveMillis;
  }

  void markIdle(long nowMillis) {
    idleSinceMillis = nowMillis;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
    if (listener == null || endPending) {
      rejectUnexpected();
      return;
    }
    if (message.decoderResult().isFailure() || hasInvalidStatus(message)) {
      fail(ExchangeFailure.MALFORMED);
      return;
    }
    if (message instanceof HttpResponse response) {
      onHead(response);
    }
    if (message instanceof HttpContent content) {
      onContent(content);
    }
  }

  /** Returns whether a message is a head whose status is of none of the five classes of HTTP. */
  private static boolean hasInvalidStatus(HttpObject message) {
    return message instanceof HttpResponse response
        && response.status().codeClass() == HttpStatusClass.UNKNOWN;
  }

  private void onHead(HttpResponse response) {
    isInformational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    if (isInformational) {
      interimResponses++;
      failIf(interimResponses > MAX_INTERIM_RESPONSES);
      return;
    }
    hasHead = true;
    responseEnd = decoder.endOf(response);
    keepAlive = HttpUtil.isKeepAlive(response);
    keepAliveMillis = KeepAlive.timeoutMillis(response.headers());
    HeadAction action = listener.onHead(response.status().code(), response.headers());
    if (action == HeadAction.SKIP && listener != null) {
      skip();
    }
  }

  /** Discards the response whose head has arrived, and waits for the next one. */
  private void skip() {
    hasSkipped = true;
    if (hasSentHeadRequest) {
      // The skipped response may answer a HEAD request or not, so its length is not known.
      fail(ExchangeFailure.NOT_SKIPPABLE);
    } else {
      isSkipping = true;
      hasHead = false;
      skippedResponses++;
      failIf(skippedResponses > MAX_SKIPPED_RESPONSES);
    }
  }

  private void failIf(boolean hasTooMuchBesideTheResponse) {
    if (hasTooMuchBesideTheResponse) {
      fail(ExchangeFailure.NOT_SKIPPABLE);
    }
  }

  private void onContent(HttpContent content) {
    if (isInformational) {
      return;
    }
    if (isSkipping) {
      isSkipping = !(content instanceof LastHttpContent);
      skippedBytes += content.content().readableBytes();
      failIf(skippedBytes > MAX_SKIPPED_BYTES);
      return;
    }
    if (listener != null && content.content().isReadable()) {
      listener.onData(content.content());
    }
    if (content instanceof LastHttpContent) {
      if (isReset) {
        fail(ExchangeFailure.CUT_OFF);
      } else {
        if (responseEnd == ResponseEnd.CONNECTION_CLOSED && !requestWritten) {
          responseEnd = ResponseEnd.CONNECTION_LOST;
        }
        // The exchange completes at the end of the read, when any bytes after the response have
        // been decoded.
        endPending = true;
      }
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (endPending) {
      complete();
    }
    ctx.fireChannelReadComplete();
  }

  private void complete() {
    endPending = false;
    boolean isReusable =
        !decoder.hasRemainingBytes() && requestWritten && !hasSkipped && channel.isActive();
    ExchangeListener ended = listener;
    listener = null;
    channel.config().setAutoRead(true);
    if (isReusable && keepAlive) {
      onIdle.accept(this);
    } else {
      channel.close();
    }
    if (ended != null) {
      ended.onEnd(responseEnd);
    }
  }

  private void rejectUnexpected() {
    keepAlive = false;
    if (listener == null) {
      channel.close();
    }
  }

  private void fail(ExchangeFailure failure) {
    ExchangeListener failed = listener;
    listener = null;
    channel.close();
    if (failed != null) {
      failed.onFailure(failure);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    // After a reset, a response whose end is the end of the connection is not complete.
    isReset = true;
    ctx.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (endPending) {
      complete();
    }
    onClosed.accept(this);
    if (listener != null) {
      fail(hasHead ? ExchangeFailure.CUT_OFF : ExchangeFailure.NO_RESPONSE);
    }
    ctx.fireChannelInactive();
  }
}
