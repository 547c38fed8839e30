package org.tanagerbank.dispatch;

import static java.util.stream.Collectors.joining;

import com.google.common.collect.ImmutableList;
import java.util.Locale;
import java.util.stream.IntStream;
import org.tanagerbank.dispatch.UpstreamBehavior.Write;

/**
 * The events that a simulated upstream sends for a request of a stream. Each names the software
 * version that wrote it. Stateless and thread-safe.
 */
final class SimulatedStream {
  /** The number of events of a whole stream. */
  static final int EVENTS = 5;

  private static final long EVENT_MILLIS = 20;

  private SimulatedStream() {}

  private static String head(String requestId) {
    return "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: " + requestId + "\r\n";
  }

  private static String event(int event, String version) {
    return "id: " + event + "\ndata: " + version + "\n\n";
  }

  /** Returns the head of a stream without a length or chunks. */
  static String unframedHead(String requestId) {
    return head(requestId) + "\r\n";
  }

  /** Returns the events of a whole stream. */
  static String events(String version) {
    return IntStream.rangeClosed(1, EVENTS).mapToObj(e -> event(e, version)).collect(joining());
  }

  /**
   * Returns what an upstream sends for a request, from the event after the last one that it names.
   */
  static ImmutableList<Write> writes(String requestId, int lastEvent, String version) {
    ImmutableList.Builder<Write> writes = ImmutableList.builder();
    writes.add(new Write(1, head(requestId) + "Transfer-Encoding: chunked\r\n\r\n"));
    for (int event = lastEvent + 1; event <= EVENTS; event++) {
      String text = event(event, version);
      String chunk = String.format(Locale.ROOT, "%x\r\n%s\r\n", text.length(), text);
      writes.add(new Write(EVENT_MILLIS * (event - lastEvent), chunk));
    }
    writes.add(new Write(EVENT_MILLIS * (EVENTS - lastEvent) + 1, "0\r\n\r\n"));
    return writes.build();
  }
}
