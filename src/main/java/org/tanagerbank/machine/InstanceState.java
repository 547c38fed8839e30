package org.tanagerbank.machine;

/** The state of an instance as the platform's list gives it. */
public enum InstanceState {
  /** The instance takes part in the service. */
  LIVE,
  /** The instance is about to stop and must receive no new work. */
  LEAVING
}
