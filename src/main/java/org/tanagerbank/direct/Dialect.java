package org.tanagerbank.direct;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalLong;
import org.tanagerbank.engine.Prompt;

/**
 * The headers by which callers, upstreams and the router of a deployment understand each other.
 *
 * <p>Implementations are immutable, thread-safe and decide nothing: they read and write headers.
 */
public interface Dialect {
  /** Returns the id of a request, or an empty string when the caller sent none. */
  String requestId(HttpHeaders request);

  /** Returns how long the caller waits for the answer. */
  OptionalLong timeLeftMillis(HttpHeaders request);

  /** Returns the key that the caller sent. */
  Optional<String> key(HttpHeaders request);

  /** Returns what an engine has to read and generate, if the request says so in a readable form. */
  Optional<Prompt> prompt(HttpHeaders request);

  /** Returns the headers of a caller's request as an upstream gets them, without body framing. */
  HttpHeaders toUpstream(HttpHeaders request, UpstreamCall call);

  /** Returns the headers of an upstream's response as the caller gets them, without framing. */
  HttpHeaders toCaller(HttpHeaders response);

  /** Returns whether a response answers the request with an id. */
  boolean answers(HttpHeaders response, String requestId);

  /** Returns whether a response says that the upstream did not run the request. */
  boolean saysNotRun(int status, HttpHeaders response);

  /** Returns whether a successful response is signed and encoded as upstreams do. */
  boolean isGenuine(HttpHeaders response);

  /** Returns the load that a response tells. */
  Optional<LoadReport> load(HttpHeaders response);
}
