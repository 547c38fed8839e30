package org.tanagerbank.backing;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.contract.Verdict;
import org.tanagerbank.http.HttpCaller;
import org.tanagerbank.http.HttpReply;
import org.tanagerbank.machine.InstanceInfo;

/** An HTTP client of the instance list of the platform. Thread-safe. */
public final class HttpInstanceList implements InstanceList {
  private static final int OK = 200;

  private final HttpCaller caller;
  private final InetSocketAddress address;
  private final long timeoutMillis;

  private HttpInstanceList(HttpCaller caller, InetSocketAddress address, long timeoutMillis) {
    this.caller = caller;
    this.address = address;
    this.timeoutMillis = timeoutMillis;
  }

  /**
   * Returns a client of the instance list at an address.
   *
   * @param timeoutMillis how long a call may take, in milliseconds
   */
  public static HttpInstanceList create(
      HttpCaller caller, InetSocketAddress address, long timeoutMillis) {
    return new HttpInstanceList(caller, address, timeoutMillis);
  }

  @Override
  public ImmutableList<InstanceInfo> instances() {
    String description = "instance list";
    HttpReply reply =
        caller.exchange(address, PlatformHttp.getRequest("/instances"), timeoutMillis);
    if (reply.status() != OK) {
      throw PlatformHttp.unexpectedStatus(
          reply, ErrorCode.PLATFORM_ERROR, Verdict.NOT_RUN, description);
    }
    JsonNode rows =
        PlatformHttp.parseObject(reply, ErrorCode.PLATFORM_ERROR, description).path("instances");
    try {
      ImmutableList.Builder<InstanceInfo> list = ImmutableList.builder();
      rows.forEach(row -> list.add(InstanceRows.read(row)));
      return list.build();
    } catch (IllegalArgumentException e) {
      throw TanagerException.failure(
          ErrorCode.PLATFORM_ERROR, description + " contains an invalid row: " + e.getMessage(), e);
    }
  }
}
