package org.tanagerbank.entry;

import com.google.common.collect.ImmutableList;
import java.util.LinkedHashMap;
import java.util.Map;
import org.tanagerbank.proto.LinkProto.QuarantineNotice;
import org.tanagerbank.request.Fingerprint;

/**
 * Stores the quarantine notices that this entry has received and forwards.
 *
 * <p>The number of notices is bounded; the oldest is dropped first. Thread-safe; state is guarded
 * by this object's monitor.
 */
final class QuarantineRegistry {
  private static final int MAX_NOTICES = 10_000;

  private record QuarantineKey(String service, long fingerprint) {}

  private final Map<QuarantineKey, QuarantineNotice> notices = new LinkedHashMap<>();

  /**
   * Stores a notice and returns whether it is new: it has not expired, and it expires later than
   * the stored notice of the same request.
   */
  synchronized boolean merge(QuarantineNotice notice, long now) {
    QuarantineKey key = new QuarantineKey(notice.getService(), notice.getFingerprint());
    QuarantineNotice known = notices.get(key);
    boolean isLater = known == null || known.getExpiresAtMillis() < notice.getExpiresAtMillis();
    if (!isLater || notice.getExpiresAtMillis() <= now) {
      return false;
    }
    notices.remove(key);
    notices.put(key, notice);
    if (notices.size() > MAX_NOTICES) {
      notices.remove(notices.keySet().iterator().next());
    }
    return true;
  }

  /**
   * Returns the time in milliseconds for which a request remains quarantined, or 0 if it is not
   * quarantined.
   */
  synchronized long remainingMillis(String service, Fingerprint fingerprint, long now) {
    QuarantineNotice known = notices.get(new QuarantineKey(service, fingerprint.value()));
    return known == null ? 0 : Math.max(0, known.getExpiresAtMillis() - now);
  }

  /** Returns the notices of a service that have not expired, and removes all expired notices. */
  synchronized ImmutableList<QuarantineNotice> activeNotices(String service, long now) {
    notices.values().removeIf(n -> n.getExpiresAtMillis() <= now);
    return notices.values().stream()
        .filter(n -> n.getService().equals(service))
        .collect(ImmutableList.toImmutableList());
  }
}
