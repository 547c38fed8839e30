/**
 * Decides what a sidecar does with the requests that reach it: which run, which are refused for
 * good, and which attach to an answer that exists.
 *
 * <p>Pure decision code: events and time are arguments, and nothing here reads a clock, starts a
 * thread or does I/O.
 */
package org.tanagerbank.ledger;
