/**
 * Assembles the answer to a request from the frames of one or more attempts.
 *
 * <p>Pure decision code without input or output.
 */
package org.tanagerbank.answer;
