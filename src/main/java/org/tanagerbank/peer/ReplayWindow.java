package org.tanagerbank.peer;

/**
 * Recognizes messages that arrive again, by their numbers. Messages may arrive in another order
 * than that of their numbers, and some never arrive.
 *
 * <p>A number that is lower than the highest one by the size of the window or more counts as
 * received. Decision logic without I/O; not thread-safe.
 */
final class ReplayWindow {
  private static final int SIZE = Long.SIZE;

  private long highest;

  /** Bit {@code i} is set if the number {@code highest - i} was received. */
  private long received;

  /** Returns whether a number, from 1 on, was not received before, and notes it. */
  boolean add(long number) {
    if (number > highest) {
      long distance = number - highest;
      received = (distance < SIZE ? received << distance : 0) | 1;
      highest = number;
      return true;
    }
    long age = highest - number;
    long bit = age < SIZE ? 1L << age : 0;
    boolean isNew = bit != 0 && (received & bit) == 0;
    received |= bit;
    return isNew;
  }
}
