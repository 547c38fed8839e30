package org.tanagerbank.platformclient;

import com.google.common.collect.ImmutableList;

/**
 * The result of one read of a stream: consecutive records, ordered by offset.
 *
 * <p>Immutable, except for the data of the records.
 *
 * @param firstRetained the oldest offset that the log retains
 * @param nextOffset the offset from which to continue reading
 * @param records the records that were read, possibly none
 */
public record LogPage(long firstRetained, long nextOffset, ImmutableList<LogRecord> records) {}
