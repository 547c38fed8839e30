package org.tanagerbank.backing;

import com.google.common.net.UrlEscapers;
import java.net.InetSocketAddress;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.Verdict;
import org.tanagerbank.http.HttpCaller;
import org.tanagerbank.http.HttpReply;

/** An HTTP client of the weight store of the platform. Thread-safe. */
public final class HttpWeightStore implements WeightStore {
  private static final int OK = 200;

  private final HttpCaller caller;
  private final InetSocketAddress address;
  private final long timeoutMillis;

  private HttpWeightStore(HttpCaller caller, InetSocketAddress address, long timeoutMillis) {
    this.caller = caller;
    this.address = address;
    this.timeoutMillis = timeoutMillis;
  }

  /**
   * Returns a client of the weight store at an address.
   *
   * @param timeoutMillis how long a call may take, in milliseconds
   */
  public static HttpWeightStore create(
      HttpCaller caller, InetSocketAddress address, long timeoutMillis) {
    return new HttpWeightStore(caller, address, timeoutMillis);
  }

  @Override
  public long load(String model, String version) {
    String path = "/weights/" + escape(model) + "/" + escape(version);
    HttpReply reply = caller.exchange(address, PlatformHttp.getRequest(path), timeoutMillis);
    if (reply.status() != OK) {
      throw PlatformHttp.unexpectedStatus(
          reply, ErrorCode.PLATFORM_ERROR, Verdict.NOT_RUN, "load of " + model + " " + version);
    }
    return reply.body().length;
  }

  private static String escape(String segment) {
    return UrlEscapers.urlPathSegmentEscaper().escape(segment);
  }
}
