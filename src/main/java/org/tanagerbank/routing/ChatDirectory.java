package org.tanagerbank.routing;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.LinkedHashMap;
import java.util.Map;
import org.tanagerbank.request.ChatKey;

/**
 * Records where the chats of a home sidecar were last served.
 *
 * <p>The directory is bounded; it evicts the chat that was recorded longest ago. Its content is a
 * hint: a wrong hint costs cache reuse, but never correctness. This class does no I/O. Thread-safe.
 */
public final class ChatDirectory {
  /**
   * The likely location of the cached prefix of a chat. Implementations are immutable and
   * thread-safe.
   */
  public sealed interface Hint {
    /** The prefix is cached here, or at no upstream known to this sidecar: run the request here. */
    record Here() implements Hint {}

    /**
     * The prefix is cached at another upstream, which served the chat last.
     *
     * @param upstreamId the id of that upstream
     */
    record MovedTo(String upstreamId) implements Hint {}

    /**
     * The prefix is not cached here: this sidecar has no record of the chat, and started recently
     * or has a load above the mean. The sidecar responds with code {@code MOVED} and no upstream.
     * The entry then tries the candidate that was the home before this sidecar joined, or one with
     * less load. No cached prefix is lost.
     */
    record Elsewhere() implements Hint {}
  }

  /**
   * The time in milliseconds after a start during which an unknown chat is sent to its previous
   * home. Most chats return within minutes; after this time the previous home has probably evicted
   * the prefix.
   */
  static final long WARM_UP_MILLIS = 600_000;

  private static final Hint RUN_HERE = new Hint.Here();
  private static final Hint ELSEWHERE = new Hint.Elsewhere();

  /** Marks a chat that was last served by this sidecar. */
  private static final String SELF = "";

  private final long startedAtMillis;
  private final Map<Long, String> lastServedAt;

  /**
   * Creates an empty directory.
   *
   * @param capacity the maximum number of chats
   * @param startedAtMillis the time in milliseconds at which the sidecar started
   */
  public ChatDirectory(int capacity, long startedAtMillis) {
    checkArgument(capacity > 0, "directory capacity must be positive: %s", capacity);
    this.startedAtMillis = startedAtMillis;
    this.lastServedAt =
        new LinkedHashMap<>() {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<Long, String> eldest) {
            return size() > capacity;
          }
        };
  }

  /** Records that a chat whose home is this sidecar was served by another upstream. */
  public synchronized void recordSpill(ChatKey chat, String upstreamId) {
    lastServedAt.remove(chat.hash());
    lastServedAt.put(chat.hash(), upstreamId);
  }

  /** Records that this sidecar runs a request of a chat. */
  public synchronized void recordServedHere(ChatKey chat) {
    lastServedAt.remove(chat.hash());
    lastServedAt.put(chat.hash(), SELF);
  }

  /**
   * Returns where a request of a returning chat should run.
   *
   * @param busy whether this sidecar has more requests in flight than the mean
   */
  public synchronized Hint hint(ChatKey chat, boolean busy, long nowMillis) {
    String upstreamId = lastServedAt.get(chat.hash());
    if (upstreamId == null) {
      return busy || nowMillis - startedAtMillis < WARM_UP_MILLIS ? ELSEWHERE : RUN_HERE;
    }
    return upstreamId.equals(SELF) ? RUN_HERE : new Hint.MovedTo(upstreamId);
  }
}
