package org.tanagerbank.backing;

/**
 * One record of a stream of the platform's log. The data array must not be changed.
 *
 * @param offset the position in the stream, from 1
 * @param timeMillis when the log accepted it, in milliseconds since the epoch
 * @param data the content
 */
public record LogRecord(long offset, long timeMillis, byte[] data) {}
