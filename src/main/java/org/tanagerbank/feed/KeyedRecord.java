package org.tanagerbank.feed;

import java.util.Optional;

/**
 * One record of a keyed topic. The value is not copied and must not be changed.
 *
 * @param key the key
 * @param value the value, absent when the key was removed
 */
public record KeyedRecord(String key, Optional<byte[]> value) {}
