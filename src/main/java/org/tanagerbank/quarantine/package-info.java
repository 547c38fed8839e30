/**
 * Identifies requests that crash engines and prevents them from running.
 *
 * <p>Pure decision code without input or output: events and the current time are arguments.
 */
package org.tanagerbank.quarantine;
