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
 * Writes declarations in canonical form: equal declarations give equal texts, whatever the order,
 * comments and omitted defaults of the text they came from. The parser reads the result back to an
 * equal declaration, but for the order of names.
 *
 * <p>Thread-safe.
 */
public final class DeclarationWriter {
  private static final Pattern PLAIN = Pattern.compile("[A-Za-z][A-Za-z0-9._-]*");

  private DeclarationWriter() {}

  /** Writes a whole declaration. */
  public static String write(Declaration declaration) {
    StringBuilder out = new StringBuilder();
    out.append(declaration.services().isEmpty() ? "services: {}\n" : "services:\n");
    new TreeMap<>(declaration.services())
        .values()
        .forEach(spec -> section(out, spec, spec.dependsOn()));
    return out.toString();
  }

  /**
   * Writes a declaration of one service, as its sidecars get it. Dependencies are left out:
   * sidecars do not need them, and the services they name would be missing.
   */
  public static String writeSection(ServiceSpec spec) {
    StringBuilder out = new StringBuilder("services:\n");
    section(out, spec, ImmutableList.of());
    return out.toString();
  }

  private static void section(StringBuilder out, ServiceSpec spec, List<String> dependsOn) {
    out.append("  ").append(quoted(spec.name())).append(":\n");
    line(out, Schema.KIND, spec.kind().name().toLowerCase(Locale.ROOT));
    if (!spec.models().isEmpty()) {
      line(out, Schema.MODELS, list(spec.models()));
    }
    if (!dependsOn.isEmpty()) {
      line(out, Schema.DEPENDS_ON, list(dependsOn));
    }
    line(out, Schema.LOAD_MULTIPLE.name(), number(spec.loadMultiple()));
    line(
        out,
        Schema.WEIGHTS,
        "{reuse: "
            + number(spec.weights().reuse())
            + ", skew: "
            + number(spec.weights().skew())
            + "}");
    line(out, Schema.SLOW_START.name(), number(spec.slowStartMillis() / 1e3));
    line(out, Schema.DRAIN_LIMIT.name(), number(spec.drainLimitMillis() / 1e3));
    line(out, Schema.MAX_IN_FLIGHT.name(), number(spec.maxInFlightPerUpstream()));
    workspaces(out, spec.workspaceShares());
    ServiceSpec.Objectives objectives = spec.objectives();
    line(
        out,
        Schema.OBJECTIVES,
        "{firstTokenMillis: "
            + objectives.firstTokenMillis()
            + ", perTokenMillis: "
            + objectives.perTokenMillis()
            + ", ratio: "
            + number(objectives.ratio())
            + "}");
    if (!spec.nonIdempotentPaths().isEmpty()) {
      line(out, Schema.PATHS, list(spec.nonIdempotentPaths()));
    }
    line(out, Schema.DETERMINISTIC, Boolean.toString(spec.deterministic()));
  }

  private static void workspaces(StringBuilder out, Map<String, Integer> shares) {
    if (shares.isEmpty()) {
      return;
    }
    out.append("    ").append(Schema.WORKSPACES).append(":\n");
    new TreeMap<>(shares)
        .forEach(
            (name, share) ->
                out.append("      ").append(quoted(name)).append(": ").append(share).append('\n'));
  }

  private static void line(StringBuilder out, String field, String value) {
    out.append("    ").append(field).append(": ").append(value).append('\n');
  }

  private static String number(double value) {
    return NumberField.text(value);
  }

  private static String list(Collection<String> names) {
    return names.stream()
        .sorted()
        .map(DeclarationWriter::quoted)
        .collect(Collectors.joining(", ", "[", "]"));
  }

  /**
   * JSON strings are YAML strings; plain scalars are used only where they need no escape.
   * Characters beyond ASCII are escaped, because YAML does not allow all of them as they are.
   */
  private static String quoted(String name) {
    if (PLAIN.matcher(name).matches() && !name.equalsIgnoreCase("null")) {
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
