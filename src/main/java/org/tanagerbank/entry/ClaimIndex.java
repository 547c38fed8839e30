package org.tanagerbank.entry;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Derives from the claims on the log which upstream each idempotency key that a caller generated is
 * bound to.
 *
 * <p>The earliest claim of a key within the retention period binds the key. A later claim rebinds
 * it only if it names the offset of the current binding; the writer names that offset after the
 * bound sidecar has sealed the key. The bindings depend only on the records in log order, so all
 * readers agree on them. This class performs no I/O and reads no clock. Not thread-safe.
 */
public final class ClaimIndex {
  /** The time in milliseconds for which a claim binds its key: 24 hours. */
  public static final long RETENTION_MILLIS = 86_400_000;

  /**
   * A claim of a key.
   *
   * @param nonce a random string by which the writer recognizes its own claim
   * @param key the hash of the key
   * @param upstreamId the id of the upstream to bind the key to
   * @param incarnation the incarnation of that upstream
   * @param supersedes the offset of the binding to replace, or 0 for none
   */
  public record Claim(
      String nonce, String key, String upstreamId, long incarnation, long supersedes) {}

  /**
   * The upstream that a key is bound to.
   *
   * @param offset the offset of the log record that bound the key
   * @param upstreamId the id of the upstream
   * @param incarnation the incarnation of the upstream
   */
  public record Binding(long offset, String upstreamId, long incarnation) {}

  private record TimedBinding(Binding binding, long timeMillis) {}

  /** The bound keys in the order of binding, so that the oldest are first. */
  private final Map<String, TimedBinding> bindings = new LinkedHashMap<>();

  /**
   * Applies the claims of the next record of the log, after dropping the bindings whose retention
   * has passed at the time of the record.
   */
  public void apply(long offset, long timeMillis, List<Claim> claims) {
    dropExpired(timeMillis);
    for (Claim claim : claims) {
      TimedBinding existing = bindings.get(claim.key());
      if (existing == null || replaces(claim, existing, offset)) {
        Binding binding = new Binding(offset, claim.upstreamId(), claim.incarnation());
        bindings.remove(claim.key());
        bindings.put(claim.key(), new TimedBinding(binding, timeMillis));
      }
    }
  }

  /** Returns the binding of a key, or empty if the key is not bound. */
  public Optional<Binding> binding(String key) {
    return Optional.ofNullable(bindings.get(key)).map(TimedBinding::binding);
  }

  /** Returns the number of bound keys. */
  public int size() {
    return bindings.size();
  }

  private static boolean replaces(Claim claim, TimedBinding existing, long offset) {
    long current = existing.binding().offset();
    return current != offset && claim.supersedes() == current;
  }

  private void dropExpired(long timeMillis) {
    Iterator<TimedBinding> oldest = bindings.values().iterator();
    while (oldest.hasNext() && timeMillis - oldest.next().timeMillis() >= RETENTION_MILLIS) {
      oldest.remove();
    }
  }
}
