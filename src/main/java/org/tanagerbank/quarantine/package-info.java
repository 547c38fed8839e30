/**
 * Finds requests that crash engines and keeps them from running.
 *
 * <p>Pure decision code: events and time are arguments.
 */
package org.tanagerbank.quarantine;
