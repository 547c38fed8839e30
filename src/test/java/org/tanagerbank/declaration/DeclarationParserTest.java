package org.tanagerbank.declaration;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against a parser that accepts an invalid text or reports a fault at the wrong position,
 * and against a diff that misses or invents changes.
 */
final class DeclarationParserTest {
  /** The example of the design page. */
  private static final String EXAMPLE =
      """
      services:
        register-app: {kind: plain, nonIdempotentPaths: [/register/entries]}
        model-pool:
          kind: engine            # engine | plain
          models: [draft-1]
          dependsOn: [register-app]
          loadMultiple: 1.25
          weights: {reuse: 0.4, skew: 0.6}
          slowStartSeconds: 30
          drainLimitSeconds: 0
          maxInFlightPerUpstream: 64
          workspaces: {default: 1, big-office: 4}
          objectives: {firstTokenMillis: 1200, perTokenMillis: 51, ratio: 0.95}
          deterministic: false
      """;

  private static String faults(String text) {
    return DeclarationParser.parse(text).faults().stream()
        .map(DeclarationFault::toString)
        .collect(Collectors.joining("\n"));
  }

  /** Returns the faults of a service with the given field, which is line 4 of the text. */
  private static String faultsOfField(String line) {
    return faults("services:\n  a:\n    kind: engine\n    " + line + "\n    models: [m]\n");
  }

  @Test
  void readsExample() {
    Declaration declaration = DeclarationParser.parseValid(EXAMPLE);
    ServiceSpec pool = declaration.services().get("model-pool");
    assertThat(declaration.services().keySet()).containsExactly("register-app", "model-pool");
    assertThat(pool.weights()).isEqualTo(new ServiceSpec.Weights(0.4, 0.6));
    assertThat(pool.slowStartMillis()).isEqualTo(30_000);
    assertThat(pool.shareOf("big-office")).isEqualTo(4);
    assertThat(pool.shareOf("other")).isEqualTo(1);
    assertThat(declaration.services().get("register-app").nonIdempotentPaths())
        .containsExactly("/register/entries");
  }

  @Test
  void reportsAllFaultsWithTheirPositions() {
    String text =
        """
        services:
          b: {kind: engine, models: [x, x], dependsOn: [c, nowhere], loadMultiples: 2}
          c: {kind: plain, models: [y], dependsOn: [b]}
          c: {kind: plain}
          d: {kind: engine, models: [x], weights: {reuse: 0, skew: 0}, deterministic: yes}
          E_: {loadMultiple: "2"}
        """;
    assertThat(faults(text))
        .isEqualTo(
            """
            2:33: duplicate "x" in models; first at line 2
            2:52: unknown service "nowhere"
            2:62: unknown field "loadMultiples" in service b; did you mean "loadMultiple"?
            3:20: a plain service must not have models
            3:45: dependency cycle: b -> c -> b
            4:3: duplicate key "c"; first at line 3
            5:30: model "x" already belongs to another service; first at line 2
            5:43: weights.reuse and weights.skew must not both be 0
            5:79: deterministic must be true or false
            6:3: service name must have 1 to 63 characters of a-z, 0-9 and -: E_
            6:3: service E_ needs the field kind
            6:22: loadMultiple must be a number""");
  }

  @Test
  void rejectsWrongTypesAndRanges() {
    assertThat(faultsOfField("loadMultiple: 0.9"))
        .contains("4:19: loadMultiple must be in 1 to 10");
    assertThat(faultsOfField("loadMultiple: 01.5")).contains("4:19: loadMultiple must be a number");
    assertThat(faultsOfField("maxInFlightPerUpstream: 1.5")).contains("must be a whole number");
    assertThat(faultsOfField("maxInFlightPerUpstream: 0x10")).contains("must be a whole number");
    assertThat(faultsOfField("slowStartSeconds: .inf")).contains("must be a number");
    assertThat(faultsOfField("workspaces: {a: 0}"))
        .contains("4:21: workspaces.* must be in 1 to 1000");
    assertThat(faultsOfField("workspaces: [a]")).contains("4:17: workspaces must be a mapping");
    assertThat(faultsOfField("objectives: {ratio: 1}")).contains("objectives.ratio must be in 0.5");
    assertThat(faultsOfField("dependsOn: a")).contains("4:16: dependsOn must be a list");
    assertThat(faultsOfField("dependsOn: [a]")).contains("dependency cycle: a -> a");
    assertThat(faultsOfField("dependsOn: [null]")).contains("item of dependsOn must be a string");
    assertThat(faultsOfField("nonIdempotentPaths: [/x]"))
        .contains("4:5: an engine service must not have");
    assertThat(faultsOfField("workspaces: &x {a: 1}"))
        .contains("anchors and aliases are not allowed");
  }

  @Test
  void rejectsTextsThatAreNotYaml() {
    assertThat(faults("")).contains("1:1: the text is empty");
    assertThat(faults("services")).contains("1:1: the declaration must be a mapping");
    assertThat(faults("other: 1")).contains("1:1: unknown field \"other\"");
    assertThat(faults("services: {a: [}")).contains("1:16: YAML syntax");
    assertThat(faults("services: {}\n---\nservices: {}")).contains("2:1: YAML syntax");
    assertThat(faults("a: 1\nb: \u0001")).contains("2:4: character not allowed");
    assertThat(faults("a: \ud800")).contains("not valid Unicode");
    assertThat(faults("#" + "x".repeat(DeclarationParser.MAX_TEXT_BYTES)))
        .contains("exceeds 1000000 bytes");
    assertThat(faults("[".repeat(10_000))).contains("1:1: ");
  }

  @Test
  void reads34000Workspaces() {
    String shares =
        IntStream.range(0, 34_000)
            .mapToObj(i -> "office-" + i + ": " + (1 + i % 9))
            .collect(Collectors.joining(", "));
    String text = "services: {a: {kind: plain, workspaces: {" + shares + "}}}";
    Declaration declaration = DeclarationParser.parseValid(text);
    assertThat(declaration.services().get("a").workspaceShares()).hasSize(34_000);
    String canonical = DeclarationWriter.write(declaration);
    assertThat(DeclarationParser.parseValid(canonical)).isEqualTo(declaration);
  }

  @Test
  void sectionOfOneServiceIsValidDeclaration() {
    ServiceSpec pool = DeclarationParser.parseValid(EXAMPLE).services().get("model-pool");
    ServiceSpec section =
        DeclarationParser.parseValid(DeclarationWriter.writeSection(pool))
            .services()
            .get("model-pool");
    assertThat(section.dependsOn()).isEmpty();
    assertThat(section.workspaceShares()).isEqualTo(pool.workspaceShares());
    assertThat(section.objectives()).isEqualTo(pool.objectives());
  }

  @Test
  void diffNamesEachChangedField() {
    Declaration before = DeclarationParser.parseValid(EXAMPLE);
    Declaration after =
        DeclarationParser.parseValid(
            EXAMPLE.replace("1.25", "1.5").replace(", big-office: 4", "").replace("0.4", "0.40"));
    assertThat(DeclarationDiff.between(before, after).toString())
        .isEqualTo(
            "[~ model-pool.loadMultiple: 1.25 -> 1.5, - model-pool.workspaces.big-office: 4]");
    assertThat(DeclarationDiff.between(before, before)).isEmpty();
  }
}
