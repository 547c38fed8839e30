package org.tanagerbank.store;

import java.util.Optional;

/**
 * A record of a keyed topic. The value is not copied and must not be changed.
 *
 * @param key the key under which the record is stored
 * @param value the value, or nothing when the record removes the key
 */
public record KeyedRecord(String key, Optional<byte[]> value) {}
