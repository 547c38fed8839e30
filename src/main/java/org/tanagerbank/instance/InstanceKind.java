package org.tanagerbank.instance;

/** The role of an instance in the fleet. */
public enum InstanceKind {
  /** An instance that accepts requests from callers. */
  ENTRY,
  /** An instance that runs next to one upstream and forwards requests to it. */
  SIDECAR
}
