package org.tanagerbank.dispatch;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;

/**
 * What passed between gateways and one simulated upstream, over all its starts. Not thread-safe.
 */
final class UpstreamTraffic {
  /**
   * A request that reached the upstream that was meant, whether or not that ran it.
   *
   * @param gatewaySinceMillis the time of the last start, pause or cut of the gateway
   * @param isFromInTouch whether the gateway had not been interrupted or cut off shortly before
   * @param parts the ids of the parts of its prompt that other requests may share
   */
  record Arrival(
      long atMillis,
      String process,
      int gateway,
      long gatewaySinceMillis,
      boolean isFromInTouch,
      String requestId,
      ImmutableSet<Long> parts) {}

  /** The end of the upstream under a run with the given shared parts. */
  record Crash(long atMillis, String process, ImmutableSet<Long> parts) {}

  /**
   * The head of a response by which the upstream told a gateway that it leaves, pauses or limits.
   */
  record Notice(long atMillis, String process, int gateway, String head) {}

  private final List<Arrival> arrivals = new ArrayList<>();
  private final List<Notice> notices = new ArrayList<>();
  private final List<Crash> crashes = new ArrayList<>();

  List<Arrival> arrivals() {
    return arrivals;
  }

  List<Notice> notices() {
    return notices;
  }

  List<Crash> crashes() {
    return crashes;
  }

  void recordCrash(long atMillis, String process, ImmutableSet<Long> parts) {
    crashes.add(new Crash(atMillis, process, parts));
  }

  void recordArrival(Arrival arrival) {
    arrivals.add(arrival);
  }

  /** Records a response if its head says that the upstream leaves, or wants few or no requests. */
  void recordResponse(long atMillis, String process, int gateway, String response) {
    String head = response.substring(0, Math.max(0, response.indexOf("\r\n\r\n")));
    boolean isNotice =
        !RawHead.header(head, "retry-after", "").isEmpty()
            || !RawHead.header(head, "server-leaving", "").isEmpty()
            || !RawHead.header(head, "server-limit", "").isEmpty();
    if (isNotice) {
      notices.add(new Notice(atMillis, process, gateway, head));
    }
  }
}
