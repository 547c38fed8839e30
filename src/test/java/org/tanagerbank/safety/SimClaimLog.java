package org.tanagerbank.safety;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tanagerbank.entry.ClaimIndex;
import org.tanagerbank.entry.ClaimIndex.Binding;
import org.tanagerbank.entry.ClaimIndex.Claim;

/** A simulated log that holds the claims of all entries in log order. Not thread-safe. */
final class SimClaimLog {
  private final List<Claim> claims = new ArrayList<>();
  boolean isUnavailable;
  boolean losesResponses;

  /** One entry's log client with its own index of the claims that it has read. */
  final class EntryClient {
    private final ClaimIndex index = new ClaimIndex();
    private int appliedClaims;

    /**
     * Appends a claim unless the key is already bound, and returns the binding of the key.
     *
     * <p>A binding that the claim supersedes does not count. Returns empty if the result of the
     * append is unknown.
     */
    Optional<Binding> claim(Claim claim) {
      Optional<Binding> currentBinding =
          index.binding(claim.key()).filter(b -> b.offset() != claim.supersedes());
      if (currentBinding.isPresent()) {
        return currentBinding;
      }
      if (!isUnavailable) {
        claims.add(claim);
      }
      // After a lost response the claim is on the log, but its writer fails without reading the
      // log back.
      if (isUnavailable || losesResponses) {
        return Optional.empty();
      }
      for (; appliedClaims < claims.size(); appliedClaims++) {
        index.apply(appliedClaims + 1, 0, ImmutableList.of(claims.get(appliedClaims)));
      }
      return index.binding(claim.key());
    }
  }

  @Override
  public String toString() {
    return claims.toString();
  }
}
