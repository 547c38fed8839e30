package org.tanagerbank.peer;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.Deque;
import org.tanagerbank.engine.Prompt;

/**
 * The latest placements of this instance. Each is sent in several digests, so that a lost digest
 * does no harm. Confined to one thread.
 */
public final class PlacementLog {
  /** The number of digests that contain a placement. */
  private static final int DIGESTS_PER_PLACEMENT = 3;

  /** Keeps a digest within one datagram; beyond this number the oldest placements are dropped. */
  private static final int MAX_PLACEMENTS = 20;

  private final Deque<PendingPlacement> placements = new ArrayDeque<>();
  private long lastNumber;

  private static final class PendingPlacement {
    private final PeerPlacement placement;
    private int sentCount;

    private PendingPlacement(PeerPlacement placement) {
      this.placement = placement;
    }
  }

  /** Adds a placement and assigns the next number to it. */
  public void add(String upstreamId, Prompt prompt, int fetchedTokens) {
    placements.addLast(
        new PendingPlacement(new PeerPlacement(++lastNumber, upstreamId, prompt, fetchedTokens)));
    if (placements.size() > MAX_PLACEMENTS) {
      placements.removeFirst();
    }
  }

  /** Returns whether a placement has not been in a digest yet. */
  public boolean hasUnsent() {
    return !placements.isEmpty() && placements.getLast().sentCount == 0;
  }

  /** Returns the placements for the next digest, and counts them as sent. */
  public ImmutableList<PeerPlacement> nextBatch() {
    ImmutableList<PeerPlacement> batch =
        placements.stream().map(p -> p.placement).collect(ImmutableList.toImmutableList());
    placements.forEach(p -> p.sentCount++);
    placements.removeIf(p -> p.sentCount >= DIGESTS_PER_PLACEMENT);
    return batch;
  }
}
