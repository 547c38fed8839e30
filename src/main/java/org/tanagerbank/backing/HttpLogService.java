package org.tanagerbank.backing;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.net.UrlEscapers;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.contract.Verdict;
import org.tanagerbank.http.HttpCaller;
import org.tanagerbank.http.HttpReply;

/**
 * Client of the platform's log over HTTP. Thread-safe.
 *
 * <p>The log does not run a request that it answers with 4xx or 503. After any other failure of an
 * append the record may have been appended.
 */
public final class HttpLogService implements LogService {
  private static final int CREATED = 201;
  private static final int OK = 200;
  private static final int GONE = 410;
  private static final int UNAVAILABLE = 503;

  private final HttpCaller caller;
  private final InetSocketAddress address;
  private final long timeoutMillis;

  private HttpLogService(HttpCaller caller, InetSocketAddress address, long timeoutMillis) {
    this.caller = caller;
    this.address = address;
    this.timeoutMillis = timeoutMillis;
  }

  /**
   * Returns a client of the log at an address.
   *
   * @param timeoutMillis how long a call may take, on top of the time that a read asks to wait
   */
  public static HttpLogService create(
      HttpCaller caller, InetSocketAddress address, long timeoutMillis) {
    return new HttpLogService(caller, address, timeoutMillis);
  }

  @Override
  public long append(String stream, byte[] data) {
    String what = "append to stream " + stream;
    HttpReply reply;
    try {
      reply = caller.exchange(address, PlatformReplies.post(path(stream), data), timeoutMillis);
    } catch (TanagerException e) {
      throw unavailable(e.verdict(), what, e);
    }
    if (reply.status() == CREATED) {
      ObjectNode body = PlatformReplies.object(reply, ErrorCode.LOG_UNAVAILABLE, what);
      long offset = body.path("offset").asLong(0);
      if (offset > 0) {
        return offset;
      }
    }
    boolean refused =
        reply.status() == UNAVAILABLE || (reply.status() >= 400 && reply.status() < 500);
    throw PlatformReplies.unexpected(
        reply, ErrorCode.LOG_UNAVAILABLE, refused ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN, what);
  }

  @Override
  public LogPage read(String stream, long from, int max, long waitMillis) {
    String what = "read of stream " + stream + " from " + from;
    String query = "?from=" + from + "&max=" + max + "&waitMillis=" + waitMillis;
    HttpReply reply;
    try {
      reply =
          caller.exchange(
              address, PlatformReplies.get(path(stream) + query), waitMillis + timeoutMillis);
    } catch (TanagerException e) {
      throw unavailable(Verdict.NOT_RUN, what, e);
    }
    if (reply.status() == OK) {
      return page(PlatformReplies.object(reply, ErrorCode.LOG_UNAVAILABLE, what), what);
    }
    ErrorCode code = reply.status() == GONE ? ErrorCode.RECORDS_EXPIRED : ErrorCode.LOG_UNAVAILABLE;
    throw PlatformReplies.unexpected(reply, code, Verdict.NOT_RUN, what);
  }

  private static LogPage page(ObjectNode body, String what) {
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
          ErrorCode.LOG_UNAVAILABLE, what + " gave an invalid page: " + e.getMessage(), e);
    }
  }

  private static TanagerException unavailable(Verdict verdict, String what, TanagerException e) {
    return TanagerException.of(
        ErrorCode.LOG_UNAVAILABLE, verdict, 0, what + " failed: " + e.getMessage());
  }

  private static String path(String stream) {
    return "/streams/" + UrlEscapers.urlPathSegmentEscaper().escape(stream) + "/records";
  }
}
