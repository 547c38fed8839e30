package org.tanagerbank.platformclient;

/**
 * A record of a stream of the platform's log.
 *
 * @param offset the position of the record in the stream, starting at 1
 * @param timeMillis when the log appended the record, in milliseconds since the epoch
 * @param data the content of the record; callers must not modify the array
 */
public record LogRecord(long offset, long timeMillis, byte[] data) {}
