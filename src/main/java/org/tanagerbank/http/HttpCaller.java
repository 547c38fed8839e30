package org.tanagerbank.http;

import java.net.InetSocketAddress;
import org.tanagerbank.contract.TanagerException;

/** Sends HTTP requests. Thread-safe. */
public interface HttpCaller {
  /**
   * Sends a request and passes the response to a listener as it arrives.
   *
   * @param initialCreditBytes how many bytes of body may arrive before {@link HttpCall#addCredit}
   */
  HttpCall send(
      InetSocketAddress address,
      HttpMessage request,
      int initialCreditBytes,
      HttpCallListener listener);

  /**
   * Sends a request and waits for the whole response.
   *
   * @throws TanagerException with code {@code PLATFORM_ERROR}; its verdict says whether the request
   *     may have reached the server
   */
  HttpReply exchange(InetSocketAddress address, HttpMessage request, long timeoutMillis);
}
