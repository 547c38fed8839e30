package org.tanagerbank.platformclient;

import com.google.common.net.UrlEscapers;
import java.net.InetSocketAddress;
import org.tanagerbank.http.BlockingHttpClient;
import org.tanagerbank.http.HttpResponseMessage;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.Verdict;

/** An HTTP client of the weight store of the platform. Thread-safe. */
public final class HttpWeightStore implements WeightStore {
  private static final int OK = 200;

  private final BlockingHttpClient client;
  private final InetSocketAddress address;
  private final long timeoutMillis;

  private HttpWeightStore(
      BlockingHttpClient client, InetSocketAddress address, long timeoutMillis) {
    this.client = client;
    this.address = address;
    this.timeoutMillis = timeoutMillis;
  }

  /**
   * Returns a client of the weight store at an address.
   *
   * @param timeoutMillis how long a call may take, in milliseconds
   */
  public static HttpWeightStore create(
      BlockingHttpClient client, InetSocketAddress address, long timeoutMillis) {
    return new HttpWeightStore(client, address, timeoutMillis);
  }

  @Override
  public long load(String model, String version) {
    String path = "/weights/" + escape(model) + "/" + escape(version);
    HttpResponseMessage response =
        client.exchange(address, PlatformHttp.getRequest(path), timeoutMillis);
    if (response.status() != OK) {
      throw PlatformHttp.unexpectedStatus(
          response, ErrorCode.PLATFORM_ERROR, Verdict.NOT_RUN, "load of " + model + " " + version);
    }
    return response.body().length;
  }

  private static String escape(String segment) {
    return UrlEscapers.urlPathSegmentEscaper().escape(segment);
  }
}
