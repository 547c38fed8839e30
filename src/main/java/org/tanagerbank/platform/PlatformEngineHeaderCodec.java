package org.tanagerbank.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Ints;
import com.google.common.primitives.Longs;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import org.tanagerbank.http.Json;
import org.tanagerbank.standin.direct.CachedPrompt;
import org.tanagerbank.standin.direct.EngineHeaderCodec;
import org.tanagerbank.standin.direct.EngineRequest;
import org.tanagerbank.upstream.LoadReport;

/**
 * Reads and writes the HTTP headers of the platform on the side of an engine. Immutable and
 * thread-safe.
 */
public final class PlatformEngineHeaderCodec implements EngineHeaderCodec {
  private static final String INSTANCE_ID = "Instance-Id";
  private static final String KEEP_ALIVE = "Keep-Alive";
  private static final String REPORT_PATH = "/-/report";
  private static final String STATED = "1";
  private static final long MILLIS_PER_SECOND = 1_000;

  /** The priority of a request without a priority header. */
  private static final int DEFAULT_PRIORITY = 5;

  private final PlatformHeaderCodec callerSide = new PlatformHeaderCodec();

  @Override
  public EngineRequest decode(HttpRequest request) {
    HttpHeaders headers = request.headers();
    Integer priority = Ints.tryParse(headers.get(PlatformHeaderCodec.PRIORITY, ""));
    Long lastEventId = Longs.tryParse(headers.get(PlatformHeaderCodec.LAST_EVENT_ID, ""));
    return new EngineRequest(
        callerSide.requestId(headers),
        request.uri(),
        Optional.ofNullable(headers.get(PlatformHeaderCodec.EXPECT_INSTANCE)),
        callerSide.timeLeftMillis(headers),
        priority == null ? DEFAULT_PRIORITY : priority,
        callerSide.prompt(headers),
        lastEventId == null ? OptionalLong.empty() : OptionalLong.of(lastEventId));
  }

  @Override
  public Query query(HttpRequest request) {
    if (!request.method().equals(HttpMethod.GET)) {
      return Query.NONE;
    }
    return switch (new QueryStringDecoder(request.uri()).path()) {
      case REPORT_PATH -> Query.REPORT;
      case PlatformEngineInspector.CACHED_PARTS_PATH -> Query.CACHED_PARTS;
      default -> Query.NONE;
    };
  }

  @Override
  public HttpHeaders encode(ResponseMarks marks) {
    HttpHeaders headers = new DefaultHttpHeaders();
    if (!marks.requestId().isEmpty()) {
      headers.set(PlatformHeaderCodec.REQUEST_ID, marks.requestId());
    }
    if (marks.isNotRun()) {
      headers.set(PlatformHeaderCodec.NOT_EXECUTED, STATED);
    }
    marks.signature().ifPresent(s -> headers.set(PlatformHeaderCodec.SIGNATURE, s));
    marks.instanceId().ifPresent(i -> headers.set(INSTANCE_ID, i));
    LoadReport load = marks.load();
    headers.set(
        PlatformHeaderCodec.LOAD, load.running() + "," + load.waiting() + "," + load.slots());
    if (marks.isLeaving()) {
      headers.set(PlatformHeaderCodec.LEAVING, STATED);
    }
    if (marks.pauseMillis() > 0) {
      headers.set(
          HttpHeaderNames.RETRY_AFTER,
          String.format(Locale.ROOT, "%.3f", marks.pauseMillis() / (double) MILLIS_PER_SECOND));
    }
    if (marks.requestLimit() > 0) {
      headers.set(PlatformHeaderCodec.LIMIT, Double.toString(marks.requestLimit()));
    }
    long keepAliveSeconds = marks.keepAliveMillis() / MILLIS_PER_SECOND;
    if (keepAliveSeconds > 0) {
      headers.set(KEEP_ALIVE, "timeout=" + keepAliveSeconds);
    }
    return headers;
  }

  @Override
  public byte[] report(SelfReport report) {
    ObjectNode body =
        Json.object()
            .put("stage", "mixed")
            .put("state", report.isDraining() ? "draining" : "ready")
            .put("busy", false)
            .put("seq", 0)
            .put("queued", report.load().waiting())
            .put("active", report.load().running())
            .put("kv-used", report.memoryUsed())
            .put("kv-total", report.memoryTotal())
            .put("handles", 0);
    body.putArray("models");
    return Json.bytes(body);
  }

  @Override
  public byte[] cachedParts(ImmutableList<CachedPrompt> parts) {
    ObjectNode body = Json.object().put("epoch", 1).put("next", 0);
    ArrayNode rows = body.putArray(PlatformEngineInspector.CACHED_PARTS);
    for (CachedPrompt part : parts) {
      rows.addArray()
          .add("")
          .add(Long.toHexString(part.partId()))
          .add(part.tokens())
          .add(part.model());
    }
    return Json.bytes(body);
  }
}
