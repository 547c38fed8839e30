package org.tanagerbank.upstream;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a response says of the process that sent it, whichever request it answers. Immutable.
 *
 * @param isLeaving whether the process is shutting down and wants no new requests
 * @param pauseMillis the time in milliseconds, counted from the response, for which the process
 *     wants no request from this instance; empty if it asks for no pause
 * @param limit the limit that it names, {@link SendLimit#NONE} if it names none, or empty if what
 *     it names is no limit
 * @param coldMillis the time in milliseconds, counted from the response, for which the process says
 *     that it is cold, 0 if it says that it is not; empty if it says nothing of it
 * @param load the load that it reports, or empty if it has no valid report
 */
public record UpstreamNotice(
    boolean isLeaving,
    OptionalLong pauseMillis,
    Optional<SendLimit> limit,
    OptionalLong coldMillis,
    Optional<LoadReport> load) {
  /** A notice that says nothing. */
  public static final UpstreamNotice NONE =
      new UpstreamNotice(
          false, OptionalLong.empty(), Optional.empty(), OptionalLong.empty(), Optional.empty());
}
