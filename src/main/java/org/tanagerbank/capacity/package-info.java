/**
 * What gateways learn of the speed of upstreams and of the requests that they take well. Decisions
 * without I/O: the time and the random source are arguments.
 */
package org.tanagerbank.capacity;
