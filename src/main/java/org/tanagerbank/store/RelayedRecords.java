package org.tanagerbank.store;

import com.google.common.collect.ImmutableList;

/**
 * Records of a topic that another instance has read. Immutable.
 *
 * @param records the records from the requested position on, in the order in which they were
 *     written
 * @param next the position after the last of the records
 * @param hasMore whether the other instance has further records
 * @param ageMillis the time in milliseconds since the other instance was known to have read all
 *     records of the topic
 * @param sinceOutageMillis the time in milliseconds since the store answered the other instance
 *     again after an outage
 * @param isSecondHand whether the store does not answer the other instance itself, so that it has
 *     the records from others
 */
public record RelayedRecords(
    ImmutableList<KeyedRecord> records,
    TopicPosition next,
    boolean hasMore,
    long ageMillis,
    long sinceOutageMillis,
    boolean isSecondHand) {}
