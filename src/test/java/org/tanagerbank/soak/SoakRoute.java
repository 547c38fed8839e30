package org.tanagerbank.soak;

import com.google.common.collect.ImmutableList;

/**
 * A route of the overload soak. Immutable and thread-safe.
 *
 * @param name the route's name; its paths begin with this name between slashes
 * @param type the type of the route, as the configuration spells it
 * @param attempts the greatest number of upstreams that one request may be sent to
 */
record SoakRoute(String name, String service, String type, boolean isResumable, int attempts) {
  static final String ENGINE_SERVICE = "engines";
  static final String PLAIN_SERVICE = "plain";

  static final SoakRoute ONE_ATTEMPT_STREAM =
      new SoakRoute("stream-one", ENGINE_SERVICE, "stream", /* isResumable= */ false, 1);
  static final SoakRoute TWO_ATTEMPT_STREAM =
      new SoakRoute("stream-two", ENGINE_SERVICE, "stream", /* isResumable= */ false, 2);
  static final SoakRoute RESUMABLE_STREAM =
      new SoakRoute("resumable", ENGINE_SERVICE, "stream", /* isResumable= */ true, 3);
  static final SoakRoute NON_IDEMPOTENT =
      new SoakRoute("once", PLAIN_SERVICE, "non_idempotent", /* isResumable= */ false, 2);
  static final SoakRoute IDEMPOTENT =
      new SoakRoute("safe", PLAIN_SERVICE, "idempotent", /* isResumable= */ false, 3);

  static final ImmutableList<SoakRoute> ALL =
      ImmutableList.of(
          ONE_ATTEMPT_STREAM, TWO_ATTEMPT_STREAM, RESUMABLE_STREAM, NON_IDEMPOTENT, IDEMPOTENT);

  boolean isStream() {
    return type.equals("stream");
  }

  /** Returns whether a request may run more than once. */
  boolean isIdempotent() {
    return type.equals("idempotent") || isResumable;
  }

  String path() {
    return "/" + name + "/x";
  }
}
