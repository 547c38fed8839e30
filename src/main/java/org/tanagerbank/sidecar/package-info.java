/**
 * The sidecar: a daemon that runs next to one upstream and is the only path to it.
 *
 * <p>A request from an entry passes the request ledger and the admission control before it is sent
 * to the upstream. The answer is returned in chunks, limited by the credit that the entry grants.
 */
package org.tanagerbank.sidecar;
