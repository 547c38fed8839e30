package org.tanagerbank.rollout;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.tanagerbank.rollout.RolloutViolation.Rule;

/**
 * Checks from probes that each version of a configuration is in force in time at every instance,
 * that no instance goes back to an older one, and that withdrawn keys stop working.
 *
 * <p>Immutable and thread-safe.
 *
 * @param adoptionNanos the time after which a confirmed version must be in force
 * @param detourNanos the further time for instances that the store turned away lately
 * @param revocationNanos the time after which a withdrawn key must be refused, whatever fails
 * @param rollbackNanos the time after the effect of a version was seen, from which no older one may
 *     show
 */
public record RolloutRules(
    long adoptionNanos, long detourNanos, long revocationNanos, long rollbackNanos) {
  /**
   * Returns what the probes show against the rules.
   *
   * @param contact how far the instance could learn of new versions shortly before a probe
   */
  public ImmutableList<RolloutViolation> check(
      ConfigHistory history,
      Collection<ConfigProbe> probes,
      Function<ConfigProbe, Contact> contact) {
    ImmutableList.Builder<RolloutViolation> violations = ImmutableList.builder();
    probes.stream()
        .filter(p -> !isExplained(history, p, contact.apply(p)))
        .map(p -> new RolloutViolation(Rule.ADOPTED_IN_TIME, p, "only an older version fits"))
        .forEach(violations::add);
    probes.stream()
        .filter(p -> p.outcome() == ConfigProbe.Outcome.SERVED)
        .filter(p -> !ConfigVersion.isPublic(p.route()))
        .filter(p -> !hadKeyInTime(history, p))
        .map(p -> new RolloutViolation(Rule.KEY_REVOKED, p, "the key was withdrawn before"))
        .forEach(violations::add);
    violations.addAll(rollbacks(history, probes));
    return violations.build();
  }

  private boolean isExplained(ConfigHistory history, ConfigProbe probe, Contact contact) {
    long limitNanos =
        switch (contact) {
          case IN_TOUCH -> adoptionNanos;
          case TURNED_AWAY -> adoptionNanos + detourNanos;
          case OUT_OF_TOUCH -> Long.MAX_VALUE;
        };
    return limitNanos == Long.MAX_VALUE
        || history.inForce(probe.sentAtNanos(), probe.endedAtNanos(), limitNanos).stream()
            .anyMatch(v -> v.explains(probe));
  }

  private boolean hadKeyInTime(ConfigHistory history, ConfigProbe probe) {
    return history.inForce(probe.sentAtNanos(), probe.endedAtNanos(), revocationNanos).stream()
        .anyMatch(v -> v.keys().contains(probe.key()));
  }

  /** A version whose effect an incarnation of an instance has shown. */
  private record Shown(long number, long atNanos) {}

  private ImmutableList<RolloutViolation> rollbacks(
      ConfigHistory history, Collection<ConfigProbe> probes) {
    ImmutableList<ConfigVersion> versions = history.versions();
    Map<String, Shown> newestShown = new HashMap<>();
    ImmutableList.Builder<RolloutViolation> violations = ImmutableList.builder();
    for (ConfigProbe probe :
        probes.stream()
            .sorted(Comparator.comparingLong(ConfigProbe::sentAtNanos))
            .collect(toImmutableList())) {
      ImmutableList<Long> explaining =
          versions.stream()
              .filter(v -> v.explains(probe))
              .map(ConfigVersion::number)
              .collect(toImmutableList());
      if (explaining.isEmpty() || probe.outcome() == ConfigProbe.Outcome.UNDECIDED) {
        continue;
      }
      String process = probe.instance() + " " + probe.incarnation();
      Optional<Shown> before = Optional.ofNullable(newestShown.get(process));
      long newest = explaining.get(explaining.size() - 1);
      if (before.isPresent()
          && newest < before.get().number()
          && probe.sentAtNanos() > before.get().atNanos() + rollbackNanos) {
        violations.add(
            new RolloutViolation(
                Rule.NO_ROLLBACK, probe, "version " + before.get().number() + " was in use"));
      }
      if (before.isEmpty() || explaining.get(0) > before.get().number()) {
        newestShown.put(process, new Shown(explaining.get(0), probe.endedAtNanos()));
      }
    }
    return violations.build();
  }
}
