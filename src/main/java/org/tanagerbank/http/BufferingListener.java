package org.tanagerbank.http;

import com.google.common.collect.ImmutableMap;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.request.Verdict;

/** A listener that buffers the complete response for a thread that waits in {@link #await}. */
final class BufferingListener implements HttpResponseListener {
  /** The maximum time to wait until a cancelled call reports its end. */
  private static final long CANCEL_TIMEOUT_MILLIS = 1_000;

  /** The largest body, in bytes. */
  static final int MAX_BODY_BYTES = 8 << 20;

  private final String description;
  private final CompletableFuture<HttpResponseMessage> future = new CompletableFuture<>();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private int status;
  private ImmutableMap<String, String> headers = ImmutableMap.of();

  BufferingListener(HttpRequestMessage request, InetSocketAddress address) {
    this.description = request.method() + " " + request.path() + " at " + address;
  }

  @Override
  public void onHead(int statusCode, ImmutableMap<String, String> headerFields) {
    status = statusCode;
    headers = headerFields;
  }

  @Override
  public void onData(byte[] data) {
    if (future.isDone()) {
      return;
    }
    if (body.size() + data.length > MAX_BODY_BYTES) {
      String reason = " failed: the body is larger than " + MAX_BODY_BYTES + " bytes";
      future.completeExceptionally(failure(Verdict.MAY_HAVE_RUN, reason));
      return;
    }
    body.writeBytes(data);
  }

  @Override
  public void onEnd() {
    future.complete(new HttpResponseMessage(status, headers, body.toByteArray()));
  }

  @Override
  public void onFailure(Exception cause, boolean mayHaveRun) {
    Verdict verdict = mayHaveRun ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
    future.completeExceptionally(failure(verdict, " failed: " + cause));
  }

  /**
   * Waits for the response, and cancels the call if the response does not arrive in time.
   *
   * @throws TanagerException with code {@code PLATFORM_ERROR} if there is no complete response
   */
  HttpResponseMessage await(HttpCall call, long timeoutMillis) {
    try {
      return future.get(timeoutMillis, TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      call.cancel();
      return afterCancel(" did not complete within " + timeoutMillis + " ms");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      call.cancel();
      throw failure(Verdict.MAY_HAVE_RUN, " failed: the waiting thread was interrupted");
    } catch (ExecutionException e) {
      // Ends a response that was given up before its end.
      call.cancel();
      throw (TanagerException) e.getCause();
    }
  }

  private HttpResponseMessage afterCancel(String reason) {
    try {
      return future.get(CANCEL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException e) {
      throw failure(((TanagerException) e.getCause()).verdict(), reason);
    } catch (TimeoutException e) {
      throw failure(Verdict.MAY_HAVE_RUN, reason);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw failure(Verdict.MAY_HAVE_RUN, reason);
    }
  }

  private TanagerException failure(Verdict verdict, String reason) {
    return TanagerException.of(ErrorCode.PLATFORM_ERROR, verdict, 0, description + reason);
  }
}
