package org.tanagerbank.declaration;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

/**
 * Guards against names and numbers that change when a declaration is written and parsed again.
 * Names that YAML reads as another type, special characters and fractions can cause that.
 */
final class DeclarationRoundTripProperties {
  private static final String SEED = "20261207";

  @Provide
  Arbitrary<List<String>> names() {
    Arbitrary<String> specialNames =
        Arbitraries.of(
            "null", "yes", "007", "1.5", "- a", "a: b", "#x", "'", "\"\\", "\ufffe", "é😀");
    Arbitrary<String> randomNames =
        Arbitraries.strings()
            .ofMinLength(1)
            .ofMaxLength(20)
            .filter(s -> s.chars().noneMatch(Character::isISOControl) && s.strip().equals(s))
            .filter(s -> s.chars().noneMatch(c -> Character.isSurrogate((char) c)));
    return Arbitraries.oneOf(specialNames, randomNames)
        .list()
        .uniqueElements()
        .ofMinSize(1)
        .ofMaxSize(5);
  }

  private static String escape(String name) {
    return name.chars()
        .mapToObj(c -> String.format("\\u%04x", c))
        .collect(Collectors.joining("", "\"", "\""));
  }

  @Property(tries = 500, seed = SEED)
  void parsesWrittenDeclarationToEqualDeclaration(
      @ForAll("names") List<String> names,
      @ForAll @DoubleRange(min = 1, max = 10) double multiple,
      @ForAll @IntRange(min = 0, max = 3_600_000) int slowStartMillis,
      @ForAll boolean deterministic) {
    String list = names.stream().map(DeclarationRoundTripProperties::escape).toList().toString();
    String shares =
        names.stream().map(n -> escape(n) + ": 7").collect(Collectors.joining(", ", "{", "}"));
    String text =
        String.format(
            "services: {a: {kind: engine, models: %s, workspaces: %s, loadMultiple: %.6f,"
                + " slowStartSeconds: %.3f, deterministic: %s}}",
            list, shares, multiple, slowStartMillis / 1e3, deterministic);
    Declaration declaration = DeclarationParser.parseValid(text);
    ServiceSpec spec = declaration.services().get("a");
    assertThat(spec.models()).containsExactlyElementsIn(names).inOrder();
    assertThat(spec.slowStartMillis()).isEqualTo(slowStartMillis);
    String canonical = DeclarationWriter.write(declaration);
    Declaration reparsed = DeclarationParser.parseValid(canonical);
    assertThat(DeclarationDiff.between(declaration, reparsed)).isEmpty();
    assertThat(reparsed.services().get("a").models()).containsExactlyElementsIn(names);
    assertThat(DeclarationWriter.write(reparsed)).isEqualTo(canonical);
  }
}
