package org.tanagerbank.bench;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * The cost of one thing at several sizes, and the straight line through it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name what is measured
 * @param unit the unit of the costs
 * @param per what one unit of size is
 * @param sizes the sizes measured, rising
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
  /** Returns the least-squares line; a single size gives a line through the origin. */
  static SlopeResult of(
      String name, String unit, String per, List<Long> sizes, List<Double> costs) {
    checkArgument(sizes.size() == costs.size(), "%s: sizes and costs differ in number", name);
    checkArgument(!sizes.isEmpty(), "%s: no sizes", name);
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
