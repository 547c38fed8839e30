package org.tanagerbank.declaration;

/** The kind of upstreams that serve a service. */
public enum ServiceKind {
  /** The upstreams are model engines, which batch requests and cache prompt prefixes. */
  ENGINE,
  /** The upstreams are ordinary HTTP servers without a prompt cache. */
  PLAIN
}
