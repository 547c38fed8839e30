/**
 * The daemon beside one upstream: the only path to it.
 *
 * <p>Frames from entries go through the ledger and the admission to the upstream, and the answer
 * goes back in pieces under the credit that the entry gives.
 */
package org.tanagerbank.sidecar;
