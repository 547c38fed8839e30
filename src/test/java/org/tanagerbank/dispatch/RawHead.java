package org.tanagerbank.dispatch;

import java.util.Locale;

/** Reads headers of messages as simulated upstreams see them. Stateless and thread-safe. */
final class RawHead {
  private RawHead() {}

  /** Returns the first value of a header, whose name is in lower case, or another text. */
  static String header(String head, String name, String otherwise) {
    return head.lines()
        .filter(l -> l.toLowerCase(Locale.ROOT).startsWith(name + ":"))
        .map(l -> l.substring(name.length() + 1).trim())
        .findFirst()
        .orElse(otherwise);
  }
}
