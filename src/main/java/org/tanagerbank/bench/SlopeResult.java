package org.tanagerbank.bench;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * The measured cost of an object or operation at several sizes, and the line fitted through it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name of the measured object or operation
 * @param unit the unit of the costs
 * @param per the unit of the sizes, such as one upstream or one workspace
 * @param sizes the measured sizes in ascending order
 * @param costs the cost at each size
 * @param slope the cost of one more unit of size, by least squares
 * @param intercept the cost that does not depend on the size, by least squares
 */
record SlopeResult(
    String name,
    String unit,
    String per,
    ImmutableList<Long> sizes,
    ImmutableList<Double> costs,
    double slope,
    double intercept) {
  /**
   * Returns the costs with their least-squares line. A single size results in a line through the
   * origin.
   *
   * @throws IllegalArgumentException if there are no sizes, or not one cost for each size
   */
  static SlopeResult of(
      String name, String unit, String per, List<Long> sizes, List<Double> costs) {
    checkArgument(sizes.size() == costs.size(), "%s: the numbers of sizes and costs differ", name);
    checkArgument(!sizes.isEmpty(), "%s: at least one size is required", name);
    double meanSize = sizes.stream().mapToLong(s -> s).average().orElseThrow();
    double meanCost = costs.stream().mapToDouble(c -> c).average().orElseThrow();
    double products = 0;
    double squares = 0;
    for (int i = 0; i < sizes.size(); i++) {
      products += (sizes.get(i) - meanSize) * (costs.get(i) - meanCost);
      squares += (sizes.get(i) - meanSize) * (sizes.get(i) - meanSize);
    }
    double slope = squares == 0 ? meanCost / meanSize : products / squares;
    return new SlopeResult(
        name,
        unit,
        per,
        ImmutableList.copyOf(sizes),
        costs.stream().map(SlopeResult::rounded).collect(ImmutableList.toImmutableList()),
        rounded(slope),
        rounded(meanCost - slope * meanSize));
  }

  private static double rounded(double value) {
    return Math.round(value * 1000) / 1000.0;
  }
}
