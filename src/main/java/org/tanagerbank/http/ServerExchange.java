package org.tanagerbank.http;

import static com.google.common.base.Preconditions.checkState;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableMap;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.message.MessageSupport;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.contract.Verdict;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;

/**
 * One request and its response on a connection of {@link HttpService}.
 *
 * <p>HttpCore calls the exchange handler methods on one I/O thread; the {@link HttpExchange}
 * methods may be called by any thread. At most one response begins.
 */
final class ServerExchange implements AsyncServerExchangeHandler, HttpExchange {
  /** A body larger than this many times the limit closes the connection instead of being read. */
  private static final int DISCARD_FACTOR = 16;

  private final HttpHandler handler;
  private final int maxBodyBytes;
  private final Runnable closeConnection;
  private final ResponseBody responseBody;
  private final ByteArrayOutputStream requestBody = new ByteArrayOutputStream();
  private final AtomicBoolean begun = new AtomicBoolean();
  private long received;
  private HttpRequest request;
  private ResponseChannel channel;
  private HttpContext context;

  ServerExchange(HttpHandler handler, int maxBodyBytes, Runnable closeConnection) {
    this.handler = handler;
    this.maxBodyBytes = maxBodyBytes;
    this.closeConnection = closeConnection;
    this.responseBody = new ResponseBody(closeConnection);
  }

  @Override
  public void handleRequest(
      HttpRequest head, EntityDetails entity, ResponseChannel responseChannel, HttpContext ctx) {
    request = head;
    channel = responseChannel;
    context = ctx;
    if (entity == null) {
      dispatch();
    }
  }

  @Override
  public void updateCapacity(CapacityChannel capacity) throws IOException {
    capacity.update(Integer.MAX_VALUE);
  }

  @Override
  public void consume(ByteBuffer src) throws IOException {
    received += src.remaining();
    if (received > (long) maxBodyBytes * DISCARD_FACTOR) {
      throw new IOException("request body of more than " + received + " bytes");
    }
    if (received > maxBodyBytes) {
      requestBody.reset();
      return;
    }
    byte[] piece = new byte[src.remaining()];
    src.get(piece);
    requestBody.writeBytes(piece);
  }

  @Override
  public void streamEnd(List<? extends Header> trailers) {
    if (received > maxBodyBytes) {
      respond(
          HttpErrors.reply(
              TanagerException.notRun(
                  ErrorCode.BODY_TOO_LARGE,
                  "the body has " + received + " bytes; the limit is " + maxBodyBytes)));
      return;
    }
    dispatch();
  }

  private void dispatch() {
    String path = request.getPath() == null ? "/" : request.getPath();
    try {
      handler.handle(
          new HttpMessage(
              Ascii.toUpperCase(request.getMethod()),
              path,
              HttpHeaders.read(request),
              requestBody.toByteArray()),
          this);
    } catch (TanagerException e) {
      refuse(e);
    } catch (RuntimeException e) {
      EventLog.emit(LogEvent.HTTP_HANDLER_FAILED, e, "path", path);
      refuse(
          TanagerException.of(
              ErrorCode.INTERNAL, Verdict.MAY_HAVE_RUN, 0, "the request handler failed"));
    }
  }

  /** Answers with an error, or breaks the connection when a response had already begun. */
  private void refuse(TanagerException error) {
    if (begun.get()) {
      responseBody.abort();
    } else {
      respond(HttpErrors.reply(error));
    }
  }

  @Override
  public void respond(HttpReply reply) {
    begin(reply.status(), reply.headers(), reply.body().length);
    if (reply.body().length > 0) {
      responseBody.write(reply.body());
    }
    responseBody.end();
  }

  @Override
  public BodyWriter beginStream(int status, ImmutableMap<String, String> headers) {
    begin(status, headers, -1);
    return responseBody;
  }

  private void begin(int status, ImmutableMap<String, String> headers, long length) {
    checkState(begun.compareAndSet(false, true), "a response has already begun");
    BasicHttpResponse head = new BasicHttpResponse(status);
    HttpHeaders.write(headers, head);
    try {
      channel.sendResponse(head, new BasicEntityDetails(length, null), context);
      if (!MessageSupport.canResponseHaveBody(request.getMethod(), head)) {
        responseBody.completeWithoutBody();
      }
    } catch (HttpException | IOException e) {
      responseBody.failed();
    }
  }

  @Override
  public void onAbort(Runnable action) {
    responseBody.onAbort(action);
  }

  @Override
  public void abort() {
    checkState(begun.compareAndSet(false, true), "a response has already begun");
    closeConnection.run();
  }

  @Override
  public int available() {
    return responseBody.available();
  }

  @Override
  public void produce(DataStreamChannel out) throws IOException {
    responseBody.produce(out);
  }

  @Override
  public void failed(Exception cause) {
    responseBody.failed();
  }

  @Override
  public void releaseResources() {
    // Called after the last event of the exchange, also after a normal end.
    responseBody.failed();
  }
}
