package org.tanagerbank.http;

import java.net.InetSocketAddress;
import org.tanagerbank.request.TanagerException;

/** Sends HTTP requests. Thread-safe. */
public interface BlockingHttpClient {
  /**
   * Sends a request and passes the response to a listener as it arrives.
   *
   * @param initialCreditBytes the number of bytes of the response body that may be read before
   *     {@link HttpCall#addCredit} is called
   */
  HttpCall send(
      InetSocketAddress address,
      HttpRequestMessage request,
      int initialCreditBytes,
      HttpResponseListener listener);

  /**
   * Sends a request and waits for the complete response.
   *
   * @throws TanagerException with code {@code PLATFORM_ERROR} if the call fails or takes longer
   *     than the timeout; its verdict states whether the request may have reached the server
   */
  HttpResponseMessage exchange(
      InetSocketAddress address, HttpRequestMessage request, long timeoutMillis);
}
