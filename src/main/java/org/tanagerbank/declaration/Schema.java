package org.tanagerbank.declaration;

import com.google.common.base.Strings;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.stream.Stream;

/**
 * The fields of the declaration. The parser reads names, ranges and defaults from here, and the
 * table in {@code docs/CONFIGURATION.md} is checked against {@link #ROWS}.
 *
 * <p>Immutable and thread-safe.
 */
final class Schema {

  static final int MAX_SERVICES = 1_000;
  static final int MAX_LIST_LENGTH = 1_000;
  static final int MAX_WORKSPACES = 50_000;
  static final int MAX_NAME_LENGTH = 128;

  static final String DEFAULT_WORKSPACE = "default";

  static final NumberField LOAD_MULTIPLE =
      new NumberField("loadMultiple", false, "multiple of the mean", 1, 10, 1.25);
  static final NumberField REUSE = new NumberField("weights.reuse", false, "", 0, 1_000, 0.5);
  static final NumberField SKEW = new NumberField("weights.skew", false, "", 0, 1_000, 0.5);
  static final NumberField SLOW_START =
      new NumberField("slowStartSeconds", false, "seconds", 0, 3_600, 30);
  static final NumberField DRAIN_LIMIT =
      new NumberField("drainLimitSeconds", false, "seconds", 0, 86_400, 0);
  static final NumberField MAX_IN_FLIGHT =
      new NumberField("maxInFlightPerUpstream", true, "requests", 1, 100_000, 64);
  static final NumberField SHARE = new NumberField("workspaces.*", true, "shares", 1, 1_000, 1);
  static final NumberField FIRST_TOKEN =
      new NumberField("objectives.firstTokenMillis", true, "milliseconds", 1, 3_600_000, 1_200);
  static final NumberField PER_TOKEN =
      new NumberField("objectives.perTokenMillis", true, "milliseconds", 1, 3_600_000, 51);
  static final NumberField RATIO =
      new NumberField("objectives.ratio", false, "share of requests", 0.5, 0.99999, 0.95);

  static final String KIND = "kind";
  static final String MODELS = "models";
  static final String DEPENDS_ON = "dependsOn";
  static final String WEIGHTS = "weights";
  static final String WORKSPACES = "workspaces";
  static final String OBJECTIVES = "objectives";
  static final String PATHS = "nonIdempotentPaths";
  static final String DETERMINISTIC = "deterministic";

  /** One row of the documentation. */
  record Row(String path, String type, String unit, String defaultValue, String range) {}

  /** All fields in the order of the documentation. */
  static final ImmutableList<Row> ROWS =
      ImmutableList.of(
          new Row(KIND, "word", "", "required", "engine, plain"),
          new Row(MODELS, "list of names", "", "required for engine", "1 to 1000; engine only"),
          new Row(DEPENDS_ON, "list of services", "", "none", "at most 1000; no cycle"),
          row(LOAD_MULTIPLE),
          row(REUSE),
          row(SKEW),
          row(SLOW_START),
          row(DRAIN_LIMIT),
          row(MAX_IN_FLIGHT),
          row(SHARE),
          row(FIRST_TOKEN),
          row(PER_TOKEN),
          row(RATIO),
          new Row(PATHS, "list of path prefixes", "", "none", "at most 1000; plain only"),
          new Row(DETERMINISTIC, "true or false", "", "false", "true, false"));

  static final ImmutableSet<String> SERVICE_FIELDS =
      ROWS.stream().map(r -> r.path().split("\\.", 2)[0]).collect(ImmutableSet.toImmutableSet());
  static final ImmutableSet<String> WEIGHT_FIELDS = names(REUSE, SKEW);
  static final ImmutableSet<String> OBJECTIVE_FIELDS = names(FIRST_TOKEN, PER_TOKEN, RATIO);

  private Schema() {}

  private static Row row(NumberField field) {
    return new Row(field.path(), field.type(), field.unit(), field.defaultText(), field.range());
  }

  private static ImmutableSet<String> names(NumberField... fields) {
    return Stream.of(fields).map(NumberField::name).collect(ImmutableSet.toImmutableSet());
  }

  /** Returns the name of the list that is most like a misspelt one, or an empty text. */
  static String nearest(String name, Iterable<String> known) {
    for (String candidate : known) {
      if (candidate.equalsIgnoreCase(name) || isOneEditApart(candidate, name)) {
        return candidate;
      }
    }
    return "";
  }

  private static boolean isOneEditApart(String a, String b) {
    int prefix = Strings.commonPrefix(a, b).length();
    int suffix = Strings.commonSuffix(a, b).length();
    int longer = Math.max(a.length(), b.length());
    return Math.abs(a.length() - b.length()) <= 1 && longer > 3 && prefix + suffix >= longer - 1;
  }

  static List<String> kinds() {
    return List.of("engine", "plain");
  }
}
