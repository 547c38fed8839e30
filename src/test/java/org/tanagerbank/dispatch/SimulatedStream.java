package org.tanagerbank.dispatch;

import com.google.common.collect.ImmutableList;
import java.util.Locale;
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

  /**
   * Returns what an upstream sends for a request, from the event after the last one that it names.
   */
  static ImmutableList<Write> writes(String requestId, int lastEvent, String version) {
    ImmutableList.Builder<Write> writes = ImmutableList.builder();
    String head =
        "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: "
            + requestId
            + "\r\nTransfer-Encoding: chunked\r\n\r\n";
    writes.add(new Write(1, head));
    for (int event = lastEvent + 1; event <= EVENTS; event++) {
      String text = "id: " + event + "\ndata: " + version + "\n\n";
      String chunk = String.format(Locale.ROOT, "%x\r\n%s\r\n", text.length(), text);
      writes.add(new Write(EVENT_MILLIS * (event - lastEvent), chunk));
    }
    writes.add(new Write(EVENT_MILLIS * (EVENTS - lastEvent) + 1, "0\r\n\r\n"));
    return writes.build();
  }
}
