package org.tanagerbank.feed;

import com.google.common.collect.ImmutableList;

/**
 * What another instance has read of a topic. Immutable.
 *
 * @param records from the offset that was asked for, in the order in which they were written
 * @param next the offset after the records
 * @param hasMore whether the other instance has further records
 * @param ageMillis how long ago the other instance knew all that the topic held
 * @param sinceOutageMillis how long ago the store answered the other instance again after an outage
 */
public record RelayedRead(
    ImmutableList<KeyedRecord> records,
    long next,
    boolean hasMore,
    long ageMillis,
    long sinceOutageMillis) {}
