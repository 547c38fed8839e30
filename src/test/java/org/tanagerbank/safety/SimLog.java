package org.tanagerbank.safety;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tanagerbank.entry.ClaimIndex;
import org.tanagerbank.entry.ClaimIndex.Binding;
import org.tanagerbank.entry.ClaimIndex.Claim;

/** The claims on the log, in log order. */
final class SimLog {
  private final List<Claim> claims = new ArrayList<>();
  boolean outage;
  boolean loseAnswers;

  /** One entry's view of the stream. */
  final class Reader {
    private final ClaimIndex index = new ClaimIndex();
    private int read;

    /** Returns what the key is bound to after the claim, or nothing when that cannot be known. */
    Optional<Binding> claim(Claim claim) {
      Optional<Binding> known =
          index.binding(claim.key()).filter(b -> b.offset() != claim.supersedes());
      if (known.isPresent()) {
        return known;
      }
      if (!outage) {
        claims.add(claim);
      }
      // With a lost answer and no reading back, the claim is on the log but its writer gives up.
      if (outage || loseAnswers) {
        return Optional.empty();
      }
      for (; read < claims.size(); read++) {
        index.apply(read + 1, 0, ImmutableList.of(claims.get(read)));
      }
      return index.binding(claim.key());
    }
  }

  @Override
  public String toString() {
    return claims.toString();
  }
}
