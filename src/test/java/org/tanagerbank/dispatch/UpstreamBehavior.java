package org.tanagerbank.dispatch;

import com.google.common.collect.ImmutableList;

/**
 * What a simulated upstream does with one request. Immutable.
 *
 * @param runs whether it begins to run the request
 * @param answers whether it answers the request in the usual way once it has run
 * @param writes what it sends besides that
 */
record UpstreamBehavior(boolean runs, boolean answers, ImmutableList<Write> writes) {
  static final UpstreamBehavior NORMAL = new UpstreamBehavior(true, true, ImmutableList.of());

  /** What an upstream does to the connection right after it has sent bytes. */
  enum Then {
    NOTHING,
    CLOSE,
    RESET,
    /** Ends the upstream with all its connections. */
    CRASH
  }

  /** Bytes that are sent some time after the request was read. */
  record Write(long delayMillis, String text, Then then) {
    Write(long delayMillis, String text) {
      this(delayMillis, text, Then.NOTHING);
    }
  }

  /** Returns the behavior of an upstream that runs the request and also sends other bytes. */
  static UpstreamBehavior runsAndSends(long delayMillis, String text) {
    return new UpstreamBehavior(true, true, ImmutableList.of(new Write(delayMillis, text)));
  }

  /** Returns the behavior of an upstream that runs the request and sends only other bytes. */
  static UpstreamBehavior runsAndOnlySends(long delayMillis, String text) {
    return new UpstreamBehavior(true, false, ImmutableList.of(new Write(delayMillis, text)));
  }

  /** Returns the behavior of an upstream that streams the events after a given one. */
  static UpstreamBehavior streams(String requestId, int lastEvent, String version) {
    return new UpstreamBehavior(true, false, SimulatedStream.writes(requestId, lastEvent, version));
  }

  /** Returns the behavior of an upstream that does not run the request. */
  static UpstreamBehavior sends(Write... writes) {
    return new UpstreamBehavior(false, false, ImmutableList.copyOf(writes));
  }

  /** Returns the response of an upstream that does not run a request. */
  static String refusal(String requestId) {
    return "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRequest-Id: "
        + requestId
        + "\r\nContent-Length: 0\r\n\r\n";
  }
}
