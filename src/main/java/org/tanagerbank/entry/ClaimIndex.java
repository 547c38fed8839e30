package org.tanagerbank.entry;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Which upstream each idempotency key made up by a caller is bound to, from the claims on the log.
 *
 * <p>The earliest claim of a key within the retention binds it. A later claim binds it anew only if
 * it names the offset of the binding in force, which its writer does after the bound sidecar has
 * sealed the key. The outcome depends on the records in log order alone, so all readers agree. Pure
 * decision code; not thread-safe.
 */
public final class ClaimIndex {
  /** How long a claim binds its key. */
  public static final long RETENTION_MILLIS = 86_400_000;

  /**
   * A claim of a key.
   *
   * @param nonce a random text by which its writer recognises it
   * @param key the hash of the key
   * @param upstreamId the upstream to bind the key to
   * @param incarnation the incarnation to bind it to
   * @param supersedes the offset of the binding to replace; 0 for none
   */
  public record Claim(
      String nonce, String key, String upstreamId, long incarnation, long supersedes) {}

  /**
   * The upstream that a key is bound to.
   *
   * @param offset the offset of the record that bound it
   */
  public record Binding(long offset, String upstreamId, long incarnation) {}

  private record Entry(Binding binding, long timeMillis) {}

  /** In the order of binding, so that the oldest stand first. */
  private final Map<String, Entry> bound = new LinkedHashMap<>();

  /** Takes the claims of the next record of the log. */
  public void apply(long offset, long timeMillis, List<Claim> claims) {
    forget(timeMillis);
    for (Claim claim : claims) {
      Entry known = bound.get(claim.key());
      if (known == null || replaces(claim, known, offset)) {
        Binding binding = new Binding(offset, claim.upstreamId(), claim.incarnation());
        bound.remove(claim.key());
        bound.put(claim.key(), new Entry(binding, timeMillis));
      }
    }
  }

  /** Returns what a key is bound to. */
  public Optional<Binding> binding(String key) {
    return Optional.ofNullable(bound.get(key)).map(Entry::binding);
  }

  /** Returns the number of keys bound. */
  public int size() {
    return bound.size();
  }

  private static boolean replaces(Claim claim, Entry known, long offset) {
    long current = known.binding().offset();
    return current != offset && claim.supersedes() == current;
  }

  private void forget(long timeMillis) {
    Iterator<Entry> oldest = bound.values().iterator();
    while (oldest.hasNext() && timeMillis - oldest.next().timeMillis() >= RETENTION_MILLIS) {
      oldest.remove();
    }
  }
}
