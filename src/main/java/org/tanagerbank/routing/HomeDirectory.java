package org.tanagerbank.routing;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.LinkedHashMap;
import java.util.Map;
import org.tanagerbank.contract.ChatKey;

/**
 * What a home sidecar knows about where its chats were last served.
 *
 * <p>The map is bounded; the chat that was noted longest ago is forgotten first. Its content is a
 * hint: a wrong one costs cache reuse, never correctness. Pure decision code, thread-safe.
 */
public final class HomeDirectory {
  /** Where the cached prefix of a chat is likely to be. */
  public sealed interface Hint {
    /** Here, or nowhere that this sidecar knows: run the request. */
    record Here() implements Hint {}

    /** At another upstream, which served the chat last. */
    record MovedTo(String upstreamId) implements Hint {}

    /**
     * Not here: this sidecar has no trace of the chat, and is new or busier than the mean. It is
     * answered with code {@code MOVED} and no upstream. The entry goes on to the candidate that was
     * the home before this sidecar joined, or to one with less load; no cached prefix is lost.
     */
    record Elsewhere() implements Hint {}
  }

  /**
   * The time after a start during which an unknown chat is sent to its previous home. Most chats
   * return within minutes; later the previous home has probably evicted the prefix.
   */
  static final long NEW_MILLIS = 600_000;

  private static final Hint HERE = new Hint.Here();
  private static final Hint ELSEWHERE = new Hint.Elsewhere();
  private static final String SELF = "";

  private final long startedAtMillis;
  private final Map<Long, String> lastServedAt;

  /** Creates an empty directory of a sidecar that started at a time. */
  public HomeDirectory(int capacity, long startedAtMillis) {
    checkArgument(capacity > 0, "capacity must be positive: %s", capacity);
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

  /** Notes that a chat whose home is here was served by another upstream. */
  public synchronized void spilled(ChatKey chat, String upstreamId) {
    lastServedAt.remove(chat.hash());
    lastServedAt.put(chat.hash(), upstreamId);
  }

  /** Notes that this sidecar runs a request of a chat. */
  public synchronized void servedHere(ChatKey chat) {
    lastServedAt.remove(chat.hash());
    lastServedAt.put(chat.hash(), SELF);
  }

  /** Returns where a returning chat should run; busy means more in flight than the mean. */
  public synchronized Hint hint(ChatKey chat, boolean busy, long nowMillis) {
    String at = lastServedAt.get(chat.hash());
    if (at == null) {
      return busy || nowMillis - startedAtMillis < NEW_MILLIS ? ELSEWHERE : HERE;
    }
    return at.equals(SELF) ? HERE : new Hint.MovedTo(at);
  }
}
