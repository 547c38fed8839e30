/** Decides what to do with the pieces of an answer. Pure decision code. */
package org.tanagerbank.answer;
