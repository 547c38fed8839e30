package org.tanagerbank.events;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.base.Splitter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.Verdict;

/**
 * Guards against documentation pages that differ from the code: an event or error code that is
 * missing or was removed, or one with another number, level or HTTP status. This happens when the
 * enum is changed without the page.
 */
final class CataloguePagesTest {
  @Test
  void eventsPageListsExactlyTheLogEvents() throws IOException {
    List<List<String>> events =
        Arrays.stream(LogEvent.values())
            .map(e -> List.of(e.id(), "`" + e.name() + "`", e.level().getName()))
            .toList();
    assertThat(rows("docs/EVENTS.md", 6, 3)).containsExactlyElementsIn(events).inOrder();
  }

  @Test
  void errorsPageListsExactlyTheErrorCodes() throws IOException {
    List<List<String>> codes =
        Arrays.stream(ErrorCode.values())
            .map(
                c -> List.of("`" + c.name() + "`", Integer.toString(c.httpStatus(Verdict.NOT_RUN))))
            .toList();
    assertThat(rows("docs/ERRORS.md", 5, 2)).containsExactlyElementsIn(codes).inOrder();
  }

  /**
   * Returns the first cells of every row except the headings, after checking that each row has the
   * expected number of cells and no empty one.
   */
  private static List<List<String>> rows(String page, int cellCount, int keyCellCount)
      throws IOException {
    List<List<String>> rows =
        Files.readAllLines(Path.of(page)).stream()
            .filter(l -> l.startsWith("|") && !l.matches("\\|(---| event | code ).*"))
            .map(l -> Splitter.on('|').trimResults().splitToList(l.substring(1, l.length() - 1)))
            .toList();
    rows.forEach(row -> assertThat(row).hasSize(cellCount));
    rows.forEach(row -> assertThat(row).doesNotContain(""));
    return rows.stream().map(row -> row.subList(0, keyCellCount)).toList();
  }
}
