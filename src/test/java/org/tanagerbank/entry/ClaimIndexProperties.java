package org.tanagerbank.entry;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.tanagerbank.entry.ClaimIndex.Binding;
import org.tanagerbank.entry.ClaimIndex.Claim;

/**
 * Guards against two readers of the claim log that derive different bindings for the same key, so
 * that a request runs at two upstreams. This happens if a binding depends on anything but the
 * records in log order.
 */
final class ClaimIndexProperties {
  private record LogEntry(long offset, long timeMillis, List<Claim> claims) {}

  /** Computes the binding of one key from the whole log, by the rule of the design page. */
  private static Optional<Binding> expectedBinding(List<LogEntry> log, String key) {
    Optional<Binding> bound = Optional.empty();
    long boundAtMillis = 0;
    for (LogEntry record : log) {
      for (Claim claim : record.claims()) {
        boolean expired =
            bound.isPresent() && record.timeMillis() - boundAtMillis >= ClaimIndex.RETENTION_MILLIS;
        boolean rebinds =
            bound.isPresent()
                && claim.supersedes() == bound.get().offset()
                && record.offset() != bound.get().offset();
        if (claim.key().equals(key) && (bound.isEmpty() || expired || rebinds)) {
          bound =
              Optional.of(new Binding(record.offset(), claim.upstreamId(), claim.incarnation()));
          boundAtMillis = record.timeMillis();
        }
      }
    }
    return bound;
  }

  @Property(tries = 500, seed = "71")
  void bindingFollowsLogOrder(@ForAll long seed) {
    Random random = new Random(seed);
    ClaimIndex index = new ClaimIndex();
    List<LogEntry> log = new ArrayList<>();
    Map<String, Long> lastSeen = new HashMap<>();
    long time = 0;
    for (long offset = 1; offset < 60; offset++) {
      time += random.nextInt(10) == 0 ? ClaimIndex.RETENTION_MILLIS / 3 : random.nextInt(500);
      List<Claim> claims = new ArrayList<>();
      for (int i = random.nextInt(4); i > 0; i--) {
        String key = "k" + random.nextInt(4);
        long supersedes = random.nextBoolean() ? 0 : lastSeen.getOrDefault(key, 0L);
        claims.add(new Claim("n" + random.nextInt(), key, "u" + random.nextInt(3), 1, supersedes));
      }
      log.add(new LogEntry(offset, time, claims));
      index.apply(offset, time, claims);
      for (int k = 0; k < 4; k++) {
        String key = "k" + k;
        Optional<Binding> expected = expectedBinding(log, key);
        if (index.binding(key).isPresent()) {
          assertThat(index.binding(key)).isEqualTo(expected);
          lastSeen.put(key, expected.get().offset());
        }
        // The index drops a key when its retention has passed; the oracle keeps it until it is
        // claimed again.
        assertThat(claims.stream().anyMatch(c -> c.key().equals(key)))
            .isAnyOf(false, index.binding(key).isPresent());
      }
    }
  }

  @Example
  void claimSupersedesOnlyTheCurrentBinding() {
    ClaimIndex index = new ClaimIndex();
    index.apply(5, 0, ImmutableList.of(new Claim("a", "k", "u1", 1, 0)));
    index.apply(6, 0, ImmutableList.of(new Claim("b", "k", "u2", 1, 4)));
    assertThat(index.binding("k")).hasValue(new Binding(5, "u1", 1));
    index.apply(7, 0, ImmutableList.of(new Claim("c", "k", "u2", 1, 5)));
    index.apply(8, 0, ImmutableList.of(new Claim("d", "k", "u3", 1, 5)));
    assertThat(index.binding("k")).hasValue(new Binding(7, "u2", 1));
  }

  @Example
  void encodedClaimsDecodeUnchanged() {
    ImmutableList<Claim> claims =
        ImmutableList.of(new Claim("n", "k", "u", 7, 0), new Claim("m", "l", "v", 8, 9));
    assertThat(ClaimCodec.decode(ClaimCodec.encode(claims))).isEqualTo(claims);
  }

  @Example
  void keysOfDifferentWorkspacesAndServicesDiffer() {
    assertThat(
            ImmutableList.of(
                ClaimCodec.keyHash("w", "s", "k"),
                ClaimCodec.keyHash("w", "sk", ""),
                ClaimCodec.keyHash("ws", "", "k"),
                ClaimCodec.keyHash("w", "s", "kk")))
        .containsNoDuplicates();
  }
}
