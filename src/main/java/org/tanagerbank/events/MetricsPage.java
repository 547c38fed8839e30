package org.tanagerbank.events;

import static com.google.common.collect.ImmutableSortedMap.toImmutableSortedMap;

import com.google.common.base.CharMatcher;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.primitives.Doubles;
import java.util.Comparator;
import java.util.function.Predicate;

/**
 * The samples parsed from a page in the Prometheus text format.
 *
 * <p>Immutable and thread-safe.
 */
public final class MetricsPage {
  private static final Splitter LINES = Splitter.on('\n').omitEmptyStrings();

  private final ImmutableList<Sample> samples;

  /**
   * The value of one time series.
   *
   * @param name the metric name
   * @param labels the text between the braces; empty if the series has no labels
   * @param value the value
   */
  public record Sample(String name, String labels, double value) {
    /** Returns whether a label of the sample has the given value. */
    public boolean hasLabel(String label, String labelValue) {
      return labels.contains(label + "=\"" + labelValue + "\"");
    }

    /** Returns the value of a label, with quotes and escapes as on the page; empty if absent. */
    private String label(String label) {
      String start = label + "=\"";
      int valueStart = labels.indexOf(start) + start.length();
      return labels.contains(start)
          ? labels.substring(valueStart, labels.indexOf('"', valueStart))
          : "";
    }
  }

  private MetricsPage(ImmutableList<Sample> samples) {
    this.samples = samples;
  }

  /** Parses a page. Lines that are not samples are skipped. */
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

  /** Returns the values of a metric whose samples have one label, by the value of the label. */
  public ImmutableSortedMap<String, Double> byLabel(String name, String label) {
    return samples.stream()
        .filter(s -> s.name().equals(name))
        .collect(
            toImmutableSortedMap(
                Comparator.naturalOrder(), s -> s.label(label), Sample::value, Double::sum));
  }

  /** Returns whether the page has at least one sample of a metric. */
  public boolean has(String name) {
    return samples.stream().anyMatch(s -> s.name().equals(name));
  }

  /** Returns the sum of all samples of a metric, or 0 if there are none. */
  public double sum(String name) {
    return sum(name, s -> true);
  }

  /**
   * Returns the sum of the samples of a metric that satisfy a condition, or 0 if there are none.
   */
  public double sum(String name, Predicate<Sample> condition) {
    return samples.stream()
        .filter(s -> s.name().equals(name))
        .filter(condition)
        .mapToDouble(Sample::value)
        .sum();
  }
}
