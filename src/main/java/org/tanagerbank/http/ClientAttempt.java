package org.tanagerbank.http;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CancellationException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.AsyncClientEndpoint;
import org.apache.hc.core5.http.nio.AsyncClientExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpCoreContext;

/**
 * One attempt of a {@link ClientCall} on one connection.
 *
 * <p>HttpCore calls the exchange handler methods on one I/O thread. The attempt reports its end to
 * the call exactly once.
 */
final class ClientAttempt implements AsyncClientExchangeHandler {
  /** The largest status of HTTP; HttpCore rejects those below the smallest one. */
  private static final int MAX_STATUS = 599;

  private final ClientCall call;
  private final AsyncClientEndpoint endpoint;
  private final HttpHost host;
  private final HttpRequestMessage request;
  private final ByteBuffer requestBody;
  private final AtomicBoolean finished = new AtomicBoolean();
  private volatile SocketAddress localAddress;
  private volatile boolean requestStarted;

  /** Whether the response has a length or chunks, or no body. */
  private boolean isFramed = true;

  ClientAttempt(
      ClientCall call, AsyncClientEndpoint endpoint, HttpHost host, HttpRequestMessage request) {
    this.call = call;
    this.endpoint = endpoint;
    this.host = host;
    this.request = request;
    this.requestBody = ByteBuffer.wrap(request.body());
  }

  /** Closes the connection, which makes the attempt fail. */
  void close() {
    endpoint.releaseAndDiscard();
  }

  @Override
  public void produceRequest(RequestChannel channel, HttpContext context)
      throws HttpException, IOException {
    if (call.isCancelled()) {
      throw new IOException("the call was cancelled before the request was sent");
    }
    requestStarted = true;
    localAddress = HttpCoreContext.cast(context).getEndpointDetails().getLocalAddress();
    call.credits().put(localAddress, call.credit());
    BasicHttpRequest head = new BasicHttpRequest(request.method(), host, request.path());
    HttpHeaders.write(request.headers(), head);
    boolean hasBody = requestBody.hasRemaining() || request.method().startsWith("P");
    EntityDetails entity = hasBody ? new BasicEntityDetails(requestBody.remaining(), null) : null;
    channel.sendRequest(head, entity, context);
  }

  @Override
  public int available() {
    return requestBody.remaining();
  }

  @Override
  public void produce(DataStreamChannel channel) throws IOException {
    if (requestBody.hasRemaining()) {
      channel.write(requestBody);
    }
    if (!requestBody.hasRemaining()) {
      channel.endStream(null);
    }
  }

  @Override
  public void consumeInformation(HttpResponse response, HttpContext context) {
    // Informational responses such as 100 Continue are not passed to the listener.
  }

  @Override
  public void consumeResponse(HttpResponse response, EntityDetails entity, HttpContext context)
      throws HttpException {
    if (response.getCode() > MAX_STATUS) {
      throw new ProtocolException("response with the invalid status " + response.getCode());
    }
    // EntityDetails.isChunked is also true for a body that ends with its connection.
    isFramed =
        entity == null
            || entity.getContentLength() >= 0
            || response.containsHeader(org.apache.hc.core5.http.HttpHeaders.TRANSFER_ENCODING);
    if (!isFramed) {
      call.credit().permitEndOfInput();
    }
    call.headReceived(response.getCode(), HttpHeaders.read(response));
    if (entity == null) {
      streamEnd(null);
    }
  }

  @Override
  public void updateCapacity(CapacityChannel channel) throws IOException {
    call.credit().setWindow(channel);
  }

  @Override
  public void consume(ByteBuffer source) {
    byte[] chunk = new byte[source.remaining()];
    source.get(chunk);
    call.dataReceived(chunk);
  }

  @Override
  public void streamEnd(List<? extends Header> trailers) {
    if (!isFramed && requestBody.hasRemaining()) {
      // The server may have reset the connection in the middle of the response.
      failed(new IOException("the connection ended before the request was written"));
    } else if (markFinished()) {
      if (requestBody.hasRemaining()) {
        // The server responded before it received the complete request. On a reused connection, it
        // would read the rest of this request as a new one.
        endpoint.releaseAndDiscard();
      } else {
        endpoint.releaseAndReuse();
      }
      call.responseEnded(isFramed);
    }
  }

  @Override
  public void failed(Exception cause) {
    if (markFinished()) {
      endpoint.releaseAndDiscard();
      call.attemptFailed(cause, requestStarted);
    }
  }

  @Override
  public void cancel() {
    failed(new CancellationException("the connection was closed"));
  }

  @Override
  public void releaseResources() {
    failed(new IOException("the connection was closed"));
  }

  private boolean markFinished() {
    boolean isFirst = finished.compareAndSet(false, true);
    if (isFirst && localAddress != null) {
      call.credits().remove(localAddress, call.credit());
    }
    return isFirst;
  }
}
