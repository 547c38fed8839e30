package org.tanagerbank.declaration;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Writes declarations in canonical form.
 *
 * <p>Equal declarations have equal canonical texts, regardless of the order, the comments and the
 * omitted defaults of their original texts. Parsing a canonical text returns an equal declaration,
 * except for the order of names. Stateless and thread-safe.
 */
public final class DeclarationWriter {
  private static final Pattern PLAIN_SCALAR = Pattern.compile("[A-Za-z][A-Za-z0-9._-]*");

  private DeclarationWriter() {}

  /** Returns the canonical text of a declaration. */
  public static String write(Declaration declaration) {
    StringBuilder out = new StringBuilder();
    out.append(declaration.services().isEmpty() ? "services: {}\n" : "services:\n");
    new TreeMap<>(declaration.services())
        .values()
        .forEach(spec -> appendSection(out, spec, spec.dependsOn()));
    return out.toString();
  }

  /**
   * Returns the canonical text of a declaration with only one service, as it is sent to the
   * sidecars of that service. Dependencies are omitted: sidecars do not need them, and they would
   * name services that the text does not contain.
   */
  public static String writeSection(ServiceSpec spec) {
    StringBuilder out = new StringBuilder("services:\n");
    appendSection(out, spec, ImmutableList.of());
    return out.toString();
  }

  private static void appendSection(StringBuilder out, ServiceSpec spec, List<String> dependsOn) {
    out.append("  ").append(quoteIfNeeded(spec.name())).append(":\n");
    appendField(out, Schema.KIND, spec.kind().name().toLowerCase(Locale.ROOT));
    if (!spec.models().isEmpty()) {
      appendField(out, Schema.MODELS, formatList(spec.models()));
    }
    if (!dependsOn.isEmpty()) {
      appendField(out, Schema.DEPENDS_ON, formatList(dependsOn));
    }
    appendField(out, Schema.LOAD_MULTIPLE.name(), formatNumber(spec.loadMultiple()));
    appendField(
        out,
        Schema.WEIGHTS,
        "{reuse: "
            + formatNumber(spec.weights().reuse())
            + ", skew: "
            + formatNumber(spec.weights().skew())
            + "}");
    appendField(out, Schema.SLOW_START.name(), formatNumber(spec.slowStartMillis() / 1e3));
    appendField(out, Schema.DRAIN_LIMIT.name(), formatNumber(spec.drainLimitMillis() / 1e3));
    appendField(out, Schema.MAX_IN_FLIGHT.name(), formatNumber(spec.maxInFlightPerUpstream()));
    appendWorkspaces(out, spec.workspaceShares());
    ServiceSpec.Objectives objectives = spec.objectives();
    appendField(
        out,
        Schema.OBJECTIVES,
        "{firstTokenMillis: "
            + objectives.firstTokenMillis()
            + ", perTokenMillis: "
            + objectives.perTokenMillis()
            + ", ratio: "
            + formatNumber(objectives.ratio())
            + "}");
    if (!spec.nonIdempotentPaths().isEmpty()) {
      appendField(out, Schema.NON_IDEMPOTENT_PATHS, formatList(spec.nonIdempotentPaths()));
    }
    appendField(out, Schema.DETERMINISTIC, Boolean.toString(spec.deterministic()));
  }

  private static void appendWorkspaces(StringBuilder out, Map<String, Integer> shares) {
    if (shares.isEmpty()) {
      return;
    }
    out.append("    ").append(Schema.WORKSPACES).append(":\n");
    new TreeMap<>(shares)
        .forEach(
            (name, share) ->
                out.append("      ")
                    .append(quoteIfNeeded(name))
                    .append(": ")
                    .append(share)
                    .append('\n'));
  }

  private static void appendField(StringBuilder out, String field, String value) {
    out.append("    ").append(field).append(": ").append(value).append('\n');
  }

  private static String formatNumber(double value) {
    return NumberField.format(value);
  }

  private static String formatList(Collection<String> names) {
    return names.stream()
        .sorted()
        .map(DeclarationWriter::quoteIfNeeded)
        .collect(Collectors.joining(", ", "[", "]"));
  }

  /**
   * Returns a name as a YAML scalar. A name that needs no escape becomes a plain scalar; any other
   * name becomes a JSON string, which is also valid YAML. Characters beyond ASCII are escaped,
   * because YAML does not allow all of them unescaped.
   */
  private static String quoteIfNeeded(String name) {
    if (PLAIN_SCALAR.matcher(name).matches() && !name.equalsIgnoreCase("null")) {
      return name;
    }
    StringBuilder out = new StringBuilder("\"");
    for (char c : JsonStringEncoder.getInstance().quoteAsString(name)) {
      if (c < 0x7f) {
        out.append(c);
      } else {
        out.append(String.format("\\u%04x", (int) c));
      }
    }
    return out.append('"').toString();
  }
}
