package org.tanagerbank.dispatch;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Numbers the runs of an instance so that they differ from those that other instances lose at the
 * same crash. Not thread-safe.
 */
final class RunIds {
  private static final HashFunction HASH = Hashing.murmur3_32_fixed();

  private final int instanceHash;
  private int lastNumber;

  RunIds(String instanceId) {
    this.instanceHash = HASH.hashString(instanceId, StandardCharsets.UTF_8).asInt();
  }

  /** Returns the id of the next run. */
  int next() {
    return HASH.newHasher().putInt(instanceHash).putInt(++lastNumber).hash().asInt();
  }
}
