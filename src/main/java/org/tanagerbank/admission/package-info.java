/**
 * Decides which requests are sent and which are refused when a service has too little room.
 *
 * <p>Pure decision code without input or output: events and the current time are arguments.
 */
package org.tanagerbank.admission;
