package org.tanagerbank.peer;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.math.IntMath;
import java.math.RoundingMode;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.stream.Stream;
import org.tanagerbank.routing.SlotTable;

/**
 * Which instances read the store for the others.
 *
 * <p>Instances that see different peers may choose different readers. That does no harm: who finds
 * no reader with fresh knowledge reads for itself. Stateless decision code, thread-safe.
 */
final class StoreReaders {
  /** Two, so that the others need not read when one of them ends. */
  private static final int MIN_READERS = 2;

  /** Bounds the questions that one reader answers in a second. */
  private static final int INSTANCES_PER_READER = 40;

  private StoreReaders() {}

  /**
   * Returns whom an instance asks, or nothing when it is a reader itself.
   *
   * @param turn rises with each question, so that questions alternate between readers
   */
  static Optional<PeerAddress> choose(String ownId, Collection<PeerAddress> livePeers, long turn) {
    int instances = livePeers.size() + 1;
    int readers =
        Math.max(
            MIN_READERS, IntMath.divide(instances, INSTANCES_PER_READER, RoundingMode.CEILING));
    ImmutableList<String> ids =
        Stream.concat(Stream.of(ownId), livePeers.stream().map(PeerAddress::instanceId))
            .sorted(Comparator.comparingLong(StoreReaders::rank))
            .limit(readers)
            .collect(toImmutableList());
    if (ids.contains(ownId)) {
      return Optional.empty();
    }
    String chosen = ids.get((int) Math.floorMod(rank(ownId) + turn, (long) ids.size()));
    return livePeers.stream().filter(p -> p.instanceId().equals(chosen)).findFirst();
  }

  private static long rank(String instanceId) {
    return SlotTable.mix(SlotTable.idHash(instanceId));
  }
}
