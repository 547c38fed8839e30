package org.tanagerbank.declaration;

import com.google.common.base.Strings;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.stream.Stream;

/**
 * The fields of a declaration, with their ranges and defaults.
 *
 * <p>The parser and the writer take names, ranges and defaults from this class. A test compares the
 * table in {@code docs/CONFIGURATION.md} with {@link #ROWS}. Immutable and thread-safe.
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
  static final String NON_IDEMPOTENT_PATHS = "nonIdempotentPaths";
  static final String DETERMINISTIC = "deterministic";

  /** A row of the table in the documentation. */
  record Row(String path, String type, String unit, String defaultValue, String range) {}

  /** The rows of all fields, in the order of the documentation. */
  static final ImmutableList<Row> ROWS =
      ImmutableList.of(
          new Row(KIND, "word", "", "required", "engine, plain"),
          new Row(MODELS, "list of names", "", "required for engine", "1 to 1000; engine only"),
          new Row(DEPENDS_ON, "list of services", "", "none", "at most 1000; no cycle"),
          toRow(LOAD_MULTIPLE),
          toRow(REUSE),
          toRow(SKEW),
          toRow(SLOW_START),
          toRow(DRAIN_LIMIT),
          toRow(MAX_IN_FLIGHT),
          toRow(SHARE),
          toRow(FIRST_TOKEN),
          toRow(PER_TOKEN),
          toRow(RATIO),
          new Row(
              NON_IDEMPOTENT_PATHS,
              "list of path prefixes",
              "",
              "none",
              "at most 1000; plain only"),
          new Row(DETERMINISTIC, "true or false", "", "false", "true, false"));

  static final ImmutableSet<String> SERVICE_FIELDS =
      ROWS.stream().map(r -> r.path().split("\\.", 2)[0]).collect(ImmutableSet.toImmutableSet());
  static final ImmutableSet<String> WEIGHT_FIELDS = namesOf(REUSE, SKEW);
  static final ImmutableSet<String> OBJECTIVE_FIELDS = namesOf(FIRST_TOKEN, PER_TOKEN, RATIO);

  private Schema() {}

  private static Row toRow(NumberField field) {
    return new Row(field.path(), field.type(), field.unit(), field.defaultText(), field.range());
  }

  private static ImmutableSet<String> namesOf(NumberField... fields) {
    return Stream.of(fields).map(NumberField::name).collect(ImmutableSet.toImmutableSet());
  }

  /**
   * Returns the first known name that differs from a misspelt name only in case, or by one
   * inserted, removed or replaced character; empty if there is none.
   */
  static String findSimilarName(String name, Iterable<String> knownNames) {
    for (String candidate : knownNames) {
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

  static List<String> kindNames() {
    return List.of("engine", "plain");
  }
}
