package org.tanagerbank.upstream;

/** What became of a connection that was opened to find out whether a server is there. */
public enum ProbeResult {
  /** The server accepted it. */
  ACCEPTED,
  /** The server's instance answered that nothing accepts connections at the address. */
  REFUSED,
  /** Nothing answered in time, or the network reported an error. */
  UNANSWERED
}
