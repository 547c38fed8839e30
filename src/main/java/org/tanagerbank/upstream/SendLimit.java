package org.tanagerbank.upstream;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The number of requests a second that a process takes from all instances together. Immutable.
 *
 * @param requestsPerSecond the number; not negative, infinite if there is no limit
 */
public record SendLimit(double requestsPerSecond) {
  /** The absence of a limit. */
  public static final SendLimit NONE = new SendLimit(Double.POSITIVE_INFINITY);

  /** Checks the value. */
  public SendLimit {
    checkArgument(requestsPerSecond >= 0, "a limit must not be negative: %s", requestsPerSecond);
  }

  /** Returns whether there is a limit. */
  public boolean isLimited() {
    return requestsPerSecond < Double.POSITIVE_INFINITY;
  }
}
