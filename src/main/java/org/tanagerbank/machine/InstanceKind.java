package org.tanagerbank.machine;

/** The role of an instance. */
public enum InstanceKind {
  /** Accepts callers' requests. */
  ENTRY,
  /** Runs beside one upstream. */
  SIDECAR
}
