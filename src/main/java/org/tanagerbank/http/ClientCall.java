package org.tanagerbank.http;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CancellationException;
import java.util.function.Consumer;
import org.apache.hc.core5.concurrent.FutureCallback;
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
 * One call of {@link AsyncHttpCaller}.
 *
 * <p>A request that the pool assigned to a connection which closed before anything was written is
 * tried again on another connection, because it certainly never reached the server. Thread-safe.
 */
final class ClientCall
    implements HttpCall, AsyncClientExchangeHandler, FutureCallback<AsyncClientEndpoint> {
  private static final int MAX_CONNECTS = 3;

  private final Consumer<FutureCallback<AsyncClientEndpoint>> connector;
  private final ResponseCredit.Table credits;
  private final HttpHost host;
  private final HttpMessage request;
  private final ResponseCredit credit;
  private final HttpCallListener listener;
  private final ByteBuffer requestBody;
  private AsyncClientEndpoint endpoint;
  private SocketAddress localAddress;
  private int connects;
  private boolean written;
  private boolean cancelled;
  private boolean finished;

  ClientCall(
      Consumer<FutureCallback<AsyncClientEndpoint>> connector,
      ResponseCredit.Table credits,
      HttpHost host,
      HttpMessage request,
      ResponseCredit credit,
      HttpCallListener listener) {
    this.connector = connector;
    this.credits = credits;
    this.host = host;
    this.request = request;
    this.credit = credit;
    this.listener = listener;
    this.requestBody = ByteBuffer.wrap(request.body());
  }

  void connect() {
    synchronized (this) {
      connects++;
    }
    connector.accept(this);
  }

  @Override
  public void completed(AsyncClientEndpoint connected) {
    boolean abandoned;
    synchronized (this) {
      endpoint = connected;
      abandoned = cancelled;
    }
    if (abandoned) {
      connected.releaseAndReuse();
      fail(new CancellationException("cancelled before it was sent"));
    } else {
      connected.execute(this, HttpCoreContext.create());
    }
  }

  @Override
  public void cancelled() {
    failed(new CancellationException("the connection was not made"));
  }

  @Override
  public void cancel() {
    AsyncClientEndpoint open;
    synchronized (this) {
      if (finished) {
        return;
      }
      cancelled = true;
      open = endpoint;
    }
    // Before the connection is made, completed() sees the flag.
    if (open != null) {
      open.releaseAndDiscard();
    }
  }

  @Override
  public void addCredit(int bytes) {
    credit.add(bytes);
  }

  @Override
  public void produceRequest(RequestChannel channel, HttpContext context)
      throws HttpException, IOException {
    synchronized (this) {
      if (cancelled) {
        throw new IOException("cancelled before it was sent");
      }
      written = true;
      localAddress = HttpCoreContext.cast(context).getEndpointDetails().getLocalAddress();
      credits.put(localAddress, credit);
    }
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
    listener.onHead(response.getCode(), HttpHeaders.read(response));
    if (entity == null) {
      streamEnd(null);
    }
  }

  @Override
  public void updateCapacity(CapacityChannel channel) throws IOException {
    credit.attach(channel);
  }

  @Override
  public void consume(ByteBuffer src) {
    byte[] piece = new byte[src.remaining()];
    src.get(piece);
    credit.use(piece.length);
    listener.onData(piece);
  }

  @Override
  public void streamEnd(List<? extends Header> trailers) {
    if (finish()) {
      endpoint.releaseAndReuse();
      listener.onEnd();
    }
  }

  @Override
  public void failed(Exception cause) {
    boolean again;
    synchronized (this) {
      again = endpoint != null && !written && !cancelled && connects < MAX_CONNECTS;
      if (again) {
        endpoint.releaseAndDiscard();
        endpoint = null;
      }
    }
    if (again) {
      connect();
    } else {
      fail(cause);
    }
  }

  @Override
  public void releaseResources() {
    boolean open;
    synchronized (this) {
      open = endpoint != null && written;
    }
    if (open) {
      fail(new IOException("the connection was closed"));
    }
  }

  private void fail(Exception cause) {
    if (finish()) {
      AsyncClientEndpoint open;
      synchronized (this) {
        open = endpoint;
      }
      if (open != null) {
        open.releaseAndDiscard();
      }
      listener.onFailure(cause, wasWritten());
    }
  }

  private synchronized boolean wasWritten() {
    return written;
  }

  private synchronized boolean finish() {
    boolean first = !finished;
    finished = true;
    if (first && localAddress != null) {
      credits.remove(localAddress, credit);
    }
    return first;
  }
}
