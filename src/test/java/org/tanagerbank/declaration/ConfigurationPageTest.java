package org.tanagerbank.declaration;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against a configuration page that names other fields, defaults or ranges than the parser
 * uses, or whose example is not valid.
 */
final class ConfigurationPageTest {
  @Test
  void tableMatchesSchemaOfParser() throws IOException {
    List<String> page =
        Files.readAllLines(Path.of("docs/CONFIGURATION.md")).stream()
            .dropWhile(line -> !line.equals("## Fields of a service"))
            .takeWhile(line -> !line.equals("## Rules"))
            .filter(line -> line.startsWith("| `"))
            .map(line -> line.substring(0, line.lastIndexOf('|', line.length() - 2) + 1))
            .toList();
    List<String> schema =
        Schema.ROWS.stream()
            .map(
                r ->
                    String.format(
                        "| `%s` | %s | %s | %s | %s |",
                        r.path(), r.type(), r.unit(), r.defaultValue(), r.range()))
            .toList();
    assertThat(page).containsExactlyElementsIn(schema).inOrder();
  }

  @Test
  void exampleIsValid() throws IOException {
    String page = Files.readString(Path.of("docs/CONFIGURATION.md"));
    int start = page.indexOf("```yaml\n") + 8;
    String example = page.substring(start, page.indexOf("```", start));
    assertThat(DeclarationParser.parse(example).faults()).isEmpty();
  }
}
