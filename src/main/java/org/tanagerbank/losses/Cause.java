package org.tanagerbank.losses;

/** What a request was lost to, as far as the log of its gateway tells. */
enum Cause {
  /** Nothing was lost. */
  NONE("none", ""),
  /** The gateway that had the request ended without an answer. */
  GATEWAY_LOST("gateway lost", "#7f2704"),
  /** The gateway had started a moment before. */
  START("start of the gateway", "#d94801"),
  /** An attempt at an upstream failed before. */
  ATTEMPT_FAILED("attempt failed before", "#8c2d8c"),
  /** The upstream that ran the request ended or fell silent. */
  UPSTREAM_LOST("upstream lost", "#54278f"),
  /** The upstream answered with an error. */
  UPSTREAM_ERROR("error of the upstream", "#9e9ac8"),
  /** A response was broken off after it had begun. */
  BROKEN_OFF("response broken off", "#08519c"),
  /** The time limit of the request passed. */
  TIME_LIMIT("time limit", "#3182bd"),
  /** The request waited in the gateway before it was placed. */
  WAIT("wait before placement", "#238b45"),
  /** The upstream had to read much of the prompt. */
  COLD_PROMPT("prompt not cached", "#74c476"),
  /** The upstream was slow to begin, for none of the reasons above. */
  SLOW_UPSTREAM("slow upstream", "#969696"),
  /** The gateway turned the request away. */
  REFUSAL("refused at once", "#fdae6b");

  private final String label;
  private final String colour;

  Cause(String label, String colour) {
    this.label = label;
    this.colour = colour;
  }

  /** Returns the name that reports print. */
  String label() {
    return label;
  }

  /** Returns the colour in plots, as in style sheets. */
  String colour() {
    return colour;
  }
}
