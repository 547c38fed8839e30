package org.tanagerbank.upstream;

import java.util.OptionalInt;

/**
 * The load that an upstream reports with a response. Immutable.
 *
 * @param running the number of requests that it is processing, from all callers
 * @param waiting the number of requests in its queue
 * @param slots the number of requests that it processes at the same time
 * @param workPercent how long work takes on its machine at the moment, in percent of the usual
 *     time, if it says so; positive
 */
public record LoadReport(int running, int waiting, int slots, OptionalInt workPercent) {
  /** Creates a report that does not tell how long work takes. */
  public LoadReport(int running, int waiting, int slots) {
    this(running, waiting, slots, OptionalInt.empty());
  }
}
