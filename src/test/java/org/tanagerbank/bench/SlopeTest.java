package org.tanagerbank.bench;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.tanagerbank.http.Json;

/**
 * Guards against a capacity page that does not match the committed measurement, and against errors
 * in the fitted lines and message sizes from which the page is computed.
 */
final class SlopeTest {
  /**
   * Guards against a page whose figures differ from those computed from the committed measurement.
   */
  @Test
  void capacityPageListsResultsComputedFromSlopes() throws IOException {
    byte[] slopes = Files.readAllBytes(Path.of("docs/capacity-slopes.json"));
    List<String> expected =
        SlopeCapacity.of(Json.parseObject(slopes)).entrySet().stream()
            .map(e -> "| " + e.getKey() + " | " + e.getValue() + " |")
            .toList();
    List<String> page =
        Files.readAllLines(Path.of("docs/CAPACITY.md")).stream()
            .dropWhile(line -> !line.equals("## Results"))
            .filter(line -> line.startsWith("| ") && !line.startsWith("| result"))
            .toList();
    assertThat(page).containsExactlyElementsIn(expected).inOrder();
  }

  /** Guards against an incorrect least-squares fit. */
  @Test
  void fitIsExactForCollinearCosts() {
    SlopeResult line =
        SlopeResult.of("n", "bytes", "row", List.of(1L, 2L, 5L), List.of(13.0, 16.0, 25.0));
    assertThat(line.slope()).isWithin(1e-9).of(3);
    assertThat(line.intercept()).isWithin(1e-9).of(10);
  }

  /** Guards against a cost measured at one size that becomes the intercept instead of the slope. */
  @Test
  void singleSizeProducesLineThroughOrigin() {
    SlopeResult line = SlopeResult.of("n", "bytes", "message", List.of(1L), List.of(15.0));
    assertThat(line.slope()).isEqualTo(15);
    assertThat(line.intercept()).isEqualTo(0);
  }

  /** Guards against message sizes that vary between runs, so that the page is not reproducible. */
  @Test
  void messageSizesAreDeterministic() {
    SlopeMeter first = new SlopeMeter();
    SlopeBytes.measure(first, 7);
    SlopeMeter second = new SlopeMeter();
    SlopeBytes.measure(second, 7);
    assertThat(second.results()).isEqualTo(first.results());
  }
}
