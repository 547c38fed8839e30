/**
 * Experiments on the rollout of configurations: versions, probes that show which of them an
 * instance uses, and the rules that they must keep. Decision logic without I/O.
 */
package org.tanagerbank.rollout;
