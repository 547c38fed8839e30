package org.tanagerbank.entry;

import com.google.common.collect.ImmutableList;
import java.util.LinkedHashMap;
import java.util.Map;
import org.tanagerbank.contract.Fingerprint;
import org.tanagerbank.proto.LinkProto.QuarantineNotice;

/**
 * The quarantines that this entry has heard of and passes on.
 *
 * <p>Bounded; the oldest notice is dropped first. Guarded by its own monitor; thread-safe.
 */
final class QuarantineBoard {
  private static final int MAX_NOTICES = 10_000;

  private record Subject(String service, long fingerprint) {}

  private final Map<Subject, QuarantineNotice> notices = new LinkedHashMap<>();

  /** Takes a notice and returns whether it says something new. */
  synchronized boolean merge(QuarantineNotice notice, long now) {
    Subject subject = new Subject(notice.getService(), notice.getFingerprint());
    QuarantineNotice known = notices.get(subject);
    boolean later = known == null || known.getExpiresAtMillis() < notice.getExpiresAtMillis();
    if (!later || notice.getExpiresAtMillis() <= now) {
      return false;
    }
    notices.remove(subject);
    notices.put(subject, notice);
    if (notices.size() > MAX_NOTICES) {
      notices.remove(notices.keySet().iterator().next());
    }
    return true;
  }

  /** Returns the time for which a request stays refused; 0 when it is not quarantined. */
  synchronized long remainingMillis(String service, Fingerprint fingerprint, long now) {
    QuarantineNotice known = notices.get(new Subject(service, fingerprint.value()));
    return known == null ? 0 : Math.max(0, known.getExpiresAtMillis() - now);
  }

  /** Returns the notices in force for a service. */
  synchronized ImmutableList<QuarantineNotice> inForce(String service, long now) {
    notices.values().removeIf(n -> n.getExpiresAtMillis() <= now);
    return notices.values().stream()
        .filter(n -> n.getService().equals(service))
        .collect(ImmutableList.toImmutableList());
  }
}
