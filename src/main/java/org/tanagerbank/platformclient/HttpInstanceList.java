package org.tanagerbank.platformclient;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import org.tanagerbank.http.BlockingHttpClient;
import org.tanagerbank.http.HttpResponseMessage;
import org.tanagerbank.instance.InstanceInfo;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.request.Verdict;

/** An HTTP client of the instance list of the platform. Thread-safe. */
public final class HttpInstanceList implements InstanceList {
  private static final int OK = 200;

  private final BlockingHttpClient client;
  private final InetSocketAddress address;
  private final long timeoutMillis;

  private HttpInstanceList(
      BlockingHttpClient client, InetSocketAddress address, long timeoutMillis) {
    this.client = client;
    this.address = address;
    this.timeoutMillis = timeoutMillis;
  }

  /**
   * Returns a client of the instance list at an address.
   *
   * @param timeoutMillis how long a call may take, in milliseconds
   */
  public static HttpInstanceList create(
      BlockingHttpClient client, InetSocketAddress address, long timeoutMillis) {
    return new HttpInstanceList(client, address, timeoutMillis);
  }

  @Override
  public ImmutableList<InstanceInfo> instances() {
    String description = "instance list";
    HttpResponseMessage response =
        client.exchange(address, PlatformHttp.getRequest("/instances"), timeoutMillis);
    if (response.status() != OK) {
      throw PlatformHttp.unexpectedStatus(
          response, ErrorCode.PLATFORM_ERROR, Verdict.NOT_RUN, description);
    }
    JsonNode rows =
        PlatformHttp.parseObject(response, ErrorCode.PLATFORM_ERROR, description).path("instances");
    try {
      ImmutableList.Builder<InstanceInfo> list = ImmutableList.builder();
      rows.forEach(row -> list.add(InstanceRowCodec.fromJson(row)));
      return list.build();
    } catch (IllegalArgumentException e) {
      throw TanagerException.failure(
          ErrorCode.PLATFORM_ERROR, description + " contains an invalid row: " + e.getMessage(), e);
    }
  }
}
