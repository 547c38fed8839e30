package org.tanagerbank.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.tanagerbank.engine.PromptPart;
import org.tanagerbank.upstream.BufferedExchange;
import org.tanagerbank.upstream.BufferedResponse;
import org.tanagerbank.upstream.ConnectionPool;
import org.tanagerbank.upstream.EngineInspector;
import org.tanagerbank.upstream.HeaderCodec;
import org.tanagerbank.upstream.UpstreamNotice;

/** Queries the cached prompt parts of the platform's engines. Immutable and thread-safe. */
public final class PlatformEngineInspector implements EngineInspector {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final HeaderCodec HEADERS = new PlatformHeaderCodec();

  /** The field of the response that lists the cached parts. */
  static final String CACHED_PARTS = "held";

  static final String CACHED_PARTS_PATH = "/-/kv-list";
  private static final int STATUS_OK = 200;

  private final long timeoutMillis;

  private PlatformEngineInspector(long timeoutMillis) {
    this.timeoutMillis = timeoutMillis;
  }

  /**
   * Returns an inspector.
   *
   * @param timeoutMillis the time in milliseconds after which a query without an answer fails
   */
  public static PlatformEngineInspector create(long timeoutMillis) {
    return new PlatformEngineInspector(timeoutMillis);
  }

  @Override
  public void cachedParts(
      EventLoop loop,
      ConnectionPool connections,
      BooleanSupplier maySend,
      Consumer<UpstreamNotice> notices,
      Consumer<Optional<ImmutableList<PromptPart>>> callback) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.GET, CACHED_PARTS_PATH, Unpooled.EMPTY_BUFFER);
    request.headers().set(HttpHeaderNames.HOST, "engine");
    BufferedExchange.send(
        loop,
        connections,
        request,
        maySend,
        timeoutMillis,
        r -> {
          notices.accept(HEADERS.notice(r.status(), r.headers()));
          callback.accept(decode(r));
        });
  }

  /**
   * Decodes the response of an engine, or returns nothing when the query failed. The field "held"
   * lists the parts as [empty text, id in hexadecimal, tokens, model].
   */
  static Optional<ImmutableList<PromptPart>> decode(BufferedResponse response) {
    if (response.status() != STATUS_OK) {
      return Optional.empty();
    }
    try {
      JsonNode entries = MAPPER.readTree(response.body()).path(CACHED_PARTS);
      if (!entries.isArray()) {
        return Optional.empty();
      }
      ImmutableList.Builder<PromptPart> parts = ImmutableList.builder();
      for (JsonNode entry : entries) {
        int tokens = entry.path(2).asInt();
        PromptPartIds.parse(entry.path(1).asText())
            .ifPresent(id -> parts.add(new PromptPart(id, tokens)));
      }
      return Optional.of(parts.build());
    } catch (IOException e) {
      return Optional.empty();
    }
  }
}
