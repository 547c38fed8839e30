package org.tanagerbank.losses;

/** How a request ended for its caller. */
enum Outcome {
  /** It was answered within the objective of its route. */
  IN_TIME("in time"),
  /** It was answered, but its response began after the objective. */
  LATE("late"),
  /** It got no whole response of an upstream. */
  FAILED("failed"),
  /** It was refused and has not run. */
  REFUSED("refused"),
  /** Its caller left before the end of the response. */
  GIVEN_UP("given up");

  private final String label;

  Outcome(String label) {
    this.label = label;
  }

  /** Returns the name that reports print. */
  String label() {
    return label;
  }

  boolean isLoss() {
    return this != IN_TIME;
  }
}
