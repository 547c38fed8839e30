package org.tanagerbank.peer;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.Deque;
import org.tanagerbank.engine.Prompt;

/**
 * The latest placements of this instance, each told in several digests so that lost ones do no
 * harm. Confined to one thread.
 */
public final class PlacementLog {
  /** How many digests tell of a placement. */
  private static final int REPEATS = 3;

  /** Keeps a digest within one datagram. */
  private static final int MAX_PLACEMENTS = 20;

  private final Deque<Told> placements = new ArrayDeque<>();
  private long number;

  private static final class Told {
    private final PlacementNote note;
    private int times;

    private Told(PlacementNote note) {
      this.note = note;
    }
  }

  /** Notes a placement. */
  public void placed(String upstreamId, Prompt prompt, int fetchedTokens) {
    placements.addLast(new Told(new PlacementNote(++number, upstreamId, prompt, fetchedTokens)));
    if (placements.size() > MAX_PLACEMENTS) {
      placements.removeFirst();
    }
  }

  /** Returns whether a placement has not been told yet. */
  public boolean hasNews() {
    return !placements.isEmpty() && placements.getLast().times == 0;
  }

  /** Returns the placements for the next digest. */
  public ImmutableList<PlacementNote> next() {
    ImmutableList<PlacementNote> notes =
        placements.stream().map(t -> t.note).collect(ImmutableList.toImmutableList());
    placements.forEach(t -> t.times++);
    placements.removeIf(t -> t.times >= REPEATS);
    return notes;
  }
}
