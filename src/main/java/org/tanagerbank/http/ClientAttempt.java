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
 * <p>HttpCore calls the exchange handler methods on one I/O thread. The end of the attempt is
 * reported to the call once.
 */
final class ClientAttempt implements AsyncClientExchangeHandler {
  private final ClientCall call;
  private final AsyncClientEndpoint endpoint;
  private final HttpHost host;
  private final HttpMessage request;
  private final ByteBuffer requestBody;
  private final AtomicBoolean over = new AtomicBoolean();
  private volatile SocketAddress localAddress;
  private volatile boolean written;

  ClientAttempt(ClientCall call, AsyncClientEndpoint endpoint, HttpHost host, HttpMessage request) {
    this.call = call;
    this.endpoint = endpoint;
    this.host = host;
    this.request = request;
    this.requestBody = ByteBuffer.wrap(request.body());
  }

  /** Closes the connection, after which the attempt fails. */
  void close() {
    endpoint.releaseAndDiscard();
  }

  @Override
  public void produceRequest(RequestChannel channel, HttpContext context)
      throws HttpException, IOException {
    if (call.isCancelled()) {
      throw new IOException("cancelled before it was sent");
    }
    written = true;
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
    // Responses like 100 Continue carry nothing for the listener.
  }

  @Override
  public void consumeResponse(HttpResponse response, EntityDetails entity, HttpContext context) {
    call.head(response.getCode(), HttpHeaders.read(response));
    if (entity == null) {
      streamEnd(null);
    }
  }

  @Override
  public void updateCapacity(CapacityChannel channel) throws IOException {
    call.credit().attach(channel);
  }

  @Override
  public void consume(ByteBuffer src) {
    byte[] piece = new byte[src.remaining()];
    src.get(piece);
    call.data(piece);
  }

  @Override
  public void streamEnd(List<? extends Header> trailers) {
    if (finish()) {
      if (requestBody.hasRemaining()) {
        // The server answered before it had the whole request; the rest would be taken for a new
        // one.
        endpoint.releaseAndDiscard();
      } else {
        endpoint.releaseAndReuse();
      }
      call.end();
    }
  }

  @Override
  public void failed(Exception cause) {
    if (finish()) {
      endpoint.releaseAndDiscard();
      call.attemptFailed(cause, written);
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

  private boolean finish() {
    boolean first = over.compareAndSet(false, true);
    if (first && localAddress != null) {
      call.credits().remove(localAddress, call.credit());
    }
    return first;
  }
}
