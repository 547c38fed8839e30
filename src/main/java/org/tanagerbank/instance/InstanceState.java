package org.tanagerbank.instance;

/** The state of an instance according to the platform's list. */
public enum InstanceState {
  /** The instance is in service. */
  LIVE,
  /** The instance is about to stop and must not receive new requests. */
  LEAVING
}
