package org.tanagerbank.standin.direct;

import com.google.common.collect.ImmutableList;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;
import org.tanagerbank.upstream.LoadReport;

/**
 * Reads and writes the names of a platform on the side of an engine. Implementations are
 * thread-safe and make no decisions.
 */
public interface EngineHeaderCodec {
  /**
   * What the head of a response says. Immutable.
   *
   * @param requestId the id of the request; empty to leave it out
   * @param isNotRun whether the head states that the request was not run
   * @param signature the signature of the engine, if it signs the response
   * @param instanceId the id of the engine, if the head names it
   * @param load the load of the engine
   * @param isLeaving whether the engine is shutting down
   * @param pauseMillis the pause in milliseconds that the engine asks for, or 0 for none
   * @param requestLimit the requests a second that the engine names as its limit, or 0 for none
   * @param keepAliveMillis the announced idle timeout in milliseconds
   */
  record ResponseMarks(
      String requestId,
      boolean isNotRun,
      Optional<String> signature,
      Optional<String> instanceId,
      LoadReport load,
      boolean isLeaving,
      long pauseMillis,
      double requestLimit,
      long keepAliveMillis) {}

  /** What callers may ask an engine about itself. */
  enum Query {
    NONE,
    REPORT,
    CACHED_PARTS
  }

  /**
   * What an engine reports about itself. Immutable.
   *
   * @param memoryUsed the tokens that cannot yield
   * @param memoryTotal the size of the memory in tokens
   */
  record SelfReport(LoadReport load, long memoryUsed, long memoryTotal, boolean isDraining) {}

  /** Decodes the head of a request. */
  EngineRequest decode(HttpRequest request);

  /** Returns which query a request is. */
  Query query(HttpRequest request);

  /** Returns the headers of a response without those of its body. */
  HttpHeaders encode(ResponseMarks marks);

  /** Returns the body of the response to {@link Query#REPORT}. */
  byte[] report(SelfReport report);

  /** Returns the body of the response to {@link Query#CACHED_PARTS}. */
  byte[] cachedParts(ImmutableList<CachedPrompt> parts);
}
