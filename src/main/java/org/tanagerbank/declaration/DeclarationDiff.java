package org.tanagerbank.declaration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Sets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Tells what differs between two declarations, field by field.
 *
 * <p>Thread-safe.
 */
public final class DeclarationDiff {
  private DeclarationDiff() {}

  /**
   * One difference.
   *
   * @param path service and field, with dots between levels
   * @param from the value before; empty when the field or service was not there
   * @param to the value after; empty when the field or service is gone
   */
  public record Change(String path, String from, String to) {
    @Override
    public String toString() {
      if (from.isEmpty()) {
        return "+ " + path + ": " + to;
      }
      return to.isEmpty() ? "- " + path + ": " + from : "~ " + path + ": " + from + " -> " + to;
    }
  }

  /** Returns the changes from one declaration to another, ordered by path. */
  public static ImmutableList<Change> between(Declaration from, Declaration to) {
    List<Change> changes = new ArrayList<>();
    for (String name :
        new TreeSet<>(Sets.union(from.services().keySet(), to.services().keySet()))) {
      Map<String, String> before = fields(from.services().get(name));
      Map<String, String> after = fields(to.services().get(name));
      for (String field : new TreeSet<>(Sets.union(before.keySet(), after.keySet()))) {
        String old = before.getOrDefault(field, "");
        String now = after.getOrDefault(field, "");
        if (!Objects.equals(old, now)) {
          changes.add(new Change(name + "." + field, old, now));
        }
      }
    }
    return ImmutableList.copyOf(changes);
  }

  private static Map<String, String> fields(ServiceSpec spec) {
    Map<String, String> fields = new TreeMap<>();
    if (spec == null) {
      return fields;
    }
    fields.put(Schema.KIND, spec.kind().name().toLowerCase(Locale.ROOT));
    list(fields, Schema.MODELS, spec.models());
    list(fields, Schema.DEPENDS_ON, spec.dependsOn());
    list(fields, Schema.PATHS, spec.nonIdempotentPaths());
    number(fields, Schema.LOAD_MULTIPLE, spec.loadMultiple());
    number(fields, Schema.REUSE, spec.weights().reuse());
    number(fields, Schema.SKEW, spec.weights().skew());
    number(fields, Schema.SLOW_START, spec.slowStartMillis() / 1e3);
    number(fields, Schema.DRAIN_LIMIT, spec.drainLimitMillis() / 1e3);
    number(fields, Schema.MAX_IN_FLIGHT, spec.maxInFlightPerUpstream());
    number(fields, Schema.FIRST_TOKEN, spec.objectives().firstTokenMillis());
    number(fields, Schema.PER_TOKEN, spec.objectives().perTokenMillis());
    number(fields, Schema.RATIO, spec.objectives().ratio());
    spec.workspaceShares()
        .forEach((name, share) -> fields.put(Schema.WORKSPACES + "." + name, share.toString()));
    fields.put(Schema.DETERMINISTIC, Boolean.toString(spec.deterministic()));
    return fields;
  }

  private static void list(Map<String, String> fields, String name, List<String> values) {
    if (!values.isEmpty()) {
      fields.put(name, values.stream().sorted().toList().toString());
    }
  }

  private static void number(Map<String, String> fields, NumberField field, double value) {
    fields.put(field.path(), NumberField.text(value));
  }
}
