package org.tanagerbank.backing;

import com.google.common.collect.ImmutableList;

/**
 * A run of consecutive records of a stream.
 *
 * @param firstRetained the offset of the oldest record that the log still keeps
 * @param next the offset to read from next
 * @param records the records read, possibly none
 */
public record LogPage(long firstRetained, long next, ImmutableList<LogRecord> records) {}
