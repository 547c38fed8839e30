package org.tanagerbank.upstream;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalLong;
import org.tanagerbank.engine.Prompt;

/**
 * The HTTP headers that callers, upstreams and the router of a deployment use.
 *
 * <p>Implementations only read and write headers and make no routing decisions. They are immutable
 * and thread-safe.
 */
public interface HeaderCodec {
  /** Returns the id of a request, or an empty string when the caller sent none or several. */
  String requestId(HttpHeaders request);

  /**
   * Returns the time in milliseconds for which the caller waits for the response, or empty if the
   * request states none.
   */
  OptionalLong timeLeftMillis(HttpHeaders request);

  /** Returns the stream that the request takes up, or empty if it begins a new one. */
  Optional<TakenUpStream> takenUpStream(HttpHeaders request);

  /** Returns the API key of the caller, or empty if the request has none. */
  Optional<String> key(HttpHeaders request);

  /** Returns the prompt that the request describes, or empty if it has no valid description. */
  Optional<Prompt> prompt(HttpHeaders request);

  /**
   * Returns the headers to send to an upstream for a caller's request, without those that define
   * the framing of the body.
   */
  HttpHeaders toUpstream(HttpHeaders request, UpstreamCall call);

  /**
   * Returns the headers to send to the caller for an upstream's response, without those that define
   * the framing of the body.
   */
  HttpHeaders toCaller(HttpHeaders response);

  /** Returns what the head of a response says about the request with the given id. */
  ResponseFacts responseFacts(HttpHeaders response, String requestId);

  /** Returns what the head of a response says of the process that sent it. */
  UpstreamNotice notice(int status, HttpHeaders response);
}
