package org.tanagerbank.platformclient;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.net.UrlEscapers;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.tanagerbank.http.BlockingHttpClient;
import org.tanagerbank.http.HttpResponseMessage;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.request.Verdict;

/**
 * An HTTP client of the log of the platform.
 *
 * <p>The log does not execute a request to which it responds with a 4xx status or with 503. After
 * any other failure of an append, the record may have been appended. Thread-safe.
 */
public final class HttpLogService implements LogService {
  private static final int CREATED = 201;
  private static final int OK = 200;
  private static final int GONE = 410;
  private static final int UNAVAILABLE = 503;

  private final BlockingHttpClient client;
  private final InetSocketAddress address;
  private final long timeoutMillis;

  private HttpLogService(BlockingHttpClient client, InetSocketAddress address, long timeoutMillis) {
    this.client = client;
    this.address = address;
    this.timeoutMillis = timeoutMillis;
  }

  /**
   * Returns a client of the log at an address.
   *
   * @param timeoutMillis how long a call may take in milliseconds, in addition to the time for
   *     which a read waits for records
   */
  public static HttpLogService create(
      BlockingHttpClient client, InetSocketAddress address, long timeoutMillis) {
    return new HttpLogService(client, address, timeoutMillis);
  }

  @Override
  public long append(String stream, byte[] data) {
    String operation = "append to stream " + stream;
    HttpResponseMessage response;
    try {
      response =
          client.exchange(
              address, PlatformHttp.postRequest(recordsPath(stream), data), timeoutMillis);
    } catch (TanagerException e) {
      throw unavailable(e.verdict(), operation, e);
    }
    if (response.status() == CREATED) {
      ObjectNode body = PlatformHttp.parseObject(response, ErrorCode.LOG_UNAVAILABLE, operation);
      long offset = body.path("offset").asLong(0);
      if (offset > 0) {
        return offset;
      }
    }
    boolean isRejected =
        response.status() == UNAVAILABLE || (response.status() >= 400 && response.status() < 500);
    throw PlatformHttp.unexpectedStatus(
        response,
        ErrorCode.LOG_UNAVAILABLE,
        isRejected ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN,
        operation);
  }

  @Override
  public LogPage read(String stream, long from, int max, long waitMillis) {
    String operation = "read of stream " + stream + " from " + from;
    String query = "?from=" + from + "&max=" + max + "&waitMillis=" + waitMillis;
    HttpResponseMessage response;
    try {
      response =
          client.exchange(
              address,
              PlatformHttp.getRequest(recordsPath(stream) + query),
              waitMillis + timeoutMillis);
    } catch (TanagerException e) {
      throw unavailable(Verdict.NOT_RUN, operation, e);
    }
    if (response.status() == OK) {
      return parsePage(
          PlatformHttp.parseObject(response, ErrorCode.LOG_UNAVAILABLE, operation), operation);
    }
    ErrorCode code =
        response.status() == GONE ? ErrorCode.RECORDS_EXPIRED : ErrorCode.LOG_UNAVAILABLE;
    throw PlatformHttp.unexpectedStatus(response, code, Verdict.NOT_RUN, operation);
  }

  private static LogPage parsePage(ObjectNode body, String operation) {
    ImmutableList.Builder<LogRecord> records = ImmutableList.builder();
    try {
      for (JsonNode row : body.path("records")) {
        records.add(
            new LogRecord(
                row.required("offset").asLong(),
                row.required("timeMillis").asLong(),
                row.required("data").binaryValue()));
      }
      return new LogPage(
          body.required("first").asLong(), body.required("next").asLong(), records.build());
    } catch (IllegalArgumentException | IOException e) {
      throw TanagerException.failure(
          ErrorCode.LOG_UNAVAILABLE, operation + " returned an invalid page: " + e.getMessage(), e);
    }
  }

  private static TanagerException unavailable(
      Verdict verdict, String operation, TanagerException e) {
    return TanagerException.of(
        ErrorCode.LOG_UNAVAILABLE, verdict, 0, operation + " failed: " + e.getMessage());
  }

  private static String recordsPath(String stream) {
    return "/streams/" + UrlEscapers.urlPathSegmentEscaper().escape(stream) + "/records";
  }
}
