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
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.request.Verdict;

/**
 * One request and its response on a connection of {@link AsyncHttpServer}.
 *
 * <p>HttpCore calls the exchange handler methods on one I/O thread. Any thread may call the {@link
 * HttpExchange} methods. At most one response is started.
 */
final class ServerExchange implements AsyncServerExchangeHandler, HttpExchange {
  /**
   * A body over the limit is read and discarded, so that the client can receive the error response;
   * a body longer than this multiple of the limit closes the connection.
   */
  private static final int DISCARD_FACTOR = 16;

  private final HttpHandler handler;
  private final int maxBodyBytes;
  private final Runnable closeConnection;
  private final ResponseBody responseBody;
  private final ByteArrayOutputStream requestBody = new ByteArrayOutputStream();
  private final AtomicBoolean responseStarted = new AtomicBoolean();
  private long receivedBytes;
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
    receivedBytes += src.remaining();
    if (receivedBytes > (long) maxBodyBytes * DISCARD_FACTOR) {
      throw new IOException(
          "request body too long to discard: received " + receivedBytes + " bytes");
    }
    if (receivedBytes > maxBodyBytes) {
      requestBody.reset();
      return;
    }
    byte[] chunk = new byte[src.remaining()];
    src.get(chunk);
    requestBody.writeBytes(chunk);
  }

  @Override
  public void streamEnd(List<? extends Header> trailers) {
    if (receivedBytes > maxBodyBytes) {
      respond(
          HttpErrors.response(
              TanagerException.notRun(
                  ErrorCode.BODY_TOO_LARGE,
                  "the request body has "
                      + receivedBytes
                      + " bytes; the maximum is "
                      + maxBodyBytes)));
      return;
    }
    dispatch();
  }

  private void dispatch() {
    String path = request.getPath() == null ? "/" : request.getPath();
    try {
      handler.handle(
          new HttpRequestMessage(
              Ascii.toUpperCase(request.getMethod()),
              path,
              HttpHeaders.read(request),
              requestBody.toByteArray()),
          this);
    } catch (TanagerException e) {
      respondWithError(e);
    } catch (RuntimeException e) {
      EventLog.emit(LogEvent.HTTP_HANDLER_FAILED, e, "path", path);
      respondWithError(
          TanagerException.of(
              ErrorCode.INTERNAL,
              Verdict.MAY_HAVE_RUN,
              0,
              "the request handler failed with an unexpected exception"));
    }
  }

  /** Responds with an error, or closes the connection if a response has already been started. */
  private void respondWithError(TanagerException error) {
    if (responseStarted.get()) {
      responseBody.abort();
    } else {
      respond(HttpErrors.response(error));
    }
  }

  @Override
  public void respond(HttpResponseMessage response) {
    startResponse(response.status(), response.headers(), response.body().length);
    if (response.body().length > 0) {
      responseBody.write(response.body());
    }
    responseBody.end();
  }

  @Override
  public BodyWriter beginStream(int status, ImmutableMap<String, String> headers) {
    startResponse(status, headers, -1);
    return responseBody;
  }

  private void startResponse(int status, ImmutableMap<String, String> headers, long length) {
    checkState(responseStarted.compareAndSet(false, true), "a response has already been started");
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
    checkState(responseStarted.compareAndSet(false, true), "a response has already been started");
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
    // HttpCore calls this after the last event of the exchange, also after a normal end.
    responseBody.failed();
  }
}
