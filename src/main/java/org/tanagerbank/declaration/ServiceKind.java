package org.tanagerbank.declaration;

/** What stands behind a service. */
public enum ServiceKind {
  /** Model engines that batch requests and cache prompt prefixes. */
  ENGINE,
  /** An ordinary HTTP service without prompt cache. */
  PLAIN
}
