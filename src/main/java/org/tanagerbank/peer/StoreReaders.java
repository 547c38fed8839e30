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
 * Chooses the instances that read the store on behalf of the others.
 *
 * <p>Instances with different live peers may choose different readers. That does no harm: an
 * instance that gets no fresh records from a reader reads the store itself. Stateless decision
 * logic, thread-safe.
 */
final class StoreReaders {
  /** Two, so that the other instances need not read the store when one reader stops. */
  private static final int MIN_READERS = 2;

  /** Bounds the number of questions that one reader answers in a second. */
  private static final int INSTANCES_PER_READER = 40;

  private StoreReaders() {}

  /**
   * Returns the reader that an instance asks, or nothing when the instance is a reader itself.
   *
   * @param ownId the id of the asking instance
   * @param livePeers the other live instances
   * @param turn a number that increases with each question, so that questions alternate between
   *     readers
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

  /**
   * Returns one of the live peers, reader or not, or nothing when there is none.
   *
   * @param turn a number that increases with each question, so that each peer has its turn
   */
  static Optional<PeerAddress> chooseAny(Collection<PeerAddress> livePeers, long turn) {
    return livePeers.stream()
        .sorted(Comparator.comparingLong(p -> rank(p.instanceId())))
        .skip(livePeers.isEmpty() ? 0 : Math.floorMod(turn, (long) livePeers.size()))
        .findFirst();
  }

  private static long rank(String instanceId) {
    return SlotTable.mixBits(SlotTable.idHash(instanceId));
  }
}
