package org.tanagerbank.events;

import com.google.common.base.CharMatcher;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Doubles;
import java.util.function.Predicate;

/**
 * The samples of a page in the Prometheus text format. Lines that are not samples are passed over.
 * Immutable.
 */
public final class MetricsPage {
  private static final Splitter LINES = Splitter.on('\n').omitEmptyStrings();

  private final ImmutableList<Sample> samples;

  /**
   * One sample.
   *
   * @param labels the text between the braces, possibly empty
   */
  public record Sample(String name, String labels, double value) {
    /** Returns whether the sample has a label with a value. */
    public boolean hasLabel(String label, String labelValue) {
      return labels.contains(label + "=\"" + labelValue + "\"");
    }
  }

  private MetricsPage(ImmutableList<Sample> samples) {
    this.samples = samples;
  }

  /** Reads the text of a page. */
  public static MetricsPage parse(String text) {
    ImmutableList.Builder<Sample> samples = ImmutableList.builder();
    for (String line : LINES.split(text)) {
      int space = line.lastIndexOf(' ');
      Double value = space < 0 ? null : Doubles.tryParse(line.substring(space + 1));
      if (value != null && line.charAt(0) != '#') {
        String series = line.substring(0, space);
        int brace = series.indexOf('{');
        String name = brace < 0 ? series : series.substring(0, brace);
        String labels = brace < 0 ? "" : series.substring(brace + 1);
        samples.add(new Sample(name, CharMatcher.is('}').trimTrailingFrom(labels), value));
      }
    }
    return new MetricsPage(samples.build());
  }

  /** Returns whether the page has a metric. */
  public boolean has(String name) {
    return samples.stream().anyMatch(s -> s.name().equals(name));
  }

  /** Returns the sum of a metric over its labels, 0 when there is none. */
  public double sum(String name) {
    return sum(name, s -> true);
  }

  /** Returns the sum of a metric over the labels that a condition holds for. */
  public double sum(String name, Predicate<Sample> condition) {
    return samples.stream()
        .filter(s -> s.name().equals(name))
        .filter(condition)
        .mapToDouble(Sample::value)
        .sum();
  }
}
