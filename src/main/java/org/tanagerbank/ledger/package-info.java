/**
 * Decides what a sidecar does with each request that it receives: run it, refuse it permanently, or
 * attach it to an existing answer.
 *
 * <p>This package contains decision logic only. Events and time are arguments; no class reads a
 * clock, starts a thread or does I/O.
 */
package org.tanagerbank.ledger;
