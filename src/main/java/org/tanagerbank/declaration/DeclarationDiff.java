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
 * Computes the differences between two declarations, field by field.
 *
 * <p>Stateless and thread-safe.
 */
public final class DeclarationDiff {
  private DeclarationDiff() {}

  /**
   * A field that differs between two declarations.
   *
   * @param path the names of the service and the field, with dots between levels
   * @param from the old value; empty if the field or service was added
   * @param to the new value; empty if the field or service was removed
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

  /** Returns the changes from one declaration to another, ordered by service and field name. */
  public static ImmutableList<Change> between(Declaration from, Declaration to) {
    List<Change> changes = new ArrayList<>();
    for (String name :
        new TreeSet<>(Sets.union(from.services().keySet(), to.services().keySet()))) {
      Map<String, String> before = fields(from.services().get(name));
      Map<String, String> after = fields(to.services().get(name));
      for (String field : new TreeSet<>(Sets.union(before.keySet(), after.keySet()))) {
        String oldValue = before.getOrDefault(field, "");
        String newValue = after.getOrDefault(field, "");
        if (!Objects.equals(oldValue, newValue)) {
          changes.add(new Change(name + "." + field, oldValue, newValue));
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
    putList(fields, Schema.MODELS, spec.models());
    putList(fields, Schema.DEPENDS_ON, spec.dependsOn());
    putList(fields, Schema.NON_IDEMPOTENT_PATHS, spec.nonIdempotentPaths());
    putNumber(fields, Schema.LOAD_MULTIPLE, spec.loadMultiple());
    putNumber(fields, Schema.REUSE, spec.weights().reuse());
    putNumber(fields, Schema.SKEW, spec.weights().skew());
    putNumber(fields, Schema.SLOW_START, spec.slowStartMillis() / 1e3);
    putNumber(fields, Schema.DRAIN_LIMIT, spec.drainLimitMillis() / 1e3);
    putNumber(fields, Schema.MAX_IN_FLIGHT, spec.maxInFlightPerUpstream());
    putNumber(fields, Schema.FIRST_TOKEN, spec.objectives().firstTokenMillis());
    putNumber(fields, Schema.PER_TOKEN, spec.objectives().perTokenMillis());
    putNumber(fields, Schema.RATIO, spec.objectives().ratio());
    spec.workspaceShares()
        .forEach((name, share) -> fields.put(Schema.WORKSPACES + "." + name, share.toString()));
    fields.put(Schema.DETERMINISTIC, Boolean.toString(spec.deterministic()));
    return fields;
  }

  private static void putList(Map<String, String> fields, String name, List<String> values) {
    if (!values.isEmpty()) {
      fields.put(name, values.stream().sorted().toList().toString());
    }
  }

  private static void putNumber(Map<String, String> fields, NumberField field, double value) {
    fields.put(field.path(), NumberField.format(value));
  }
}
