package org.tanagerbank.events;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.base.Splitter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.tanagerbank.contract.ErrorCode;

/**
 * Guards against pages that lack an event or error code, keep one that is gone, or give another
 * number, level or status than the code has.
 */
final class CataloguePagesTest {
  @Test
  void eventsPageHasOneRowForEachEvent() throws IOException {
    List<List<String>> events =
        Arrays.stream(LogEvent.values())
            .map(e -> List.of(e.id(), "`" + e.name() + "`", e.level().getName()))
            .toList();
    assertThat(rows("docs/EVENTS.md", 6, 3)).containsExactlyElementsIn(events).inOrder();
  }

  @Test
  void errorsPageHasOneRowForEachCode() throws IOException {
    List<List<String>> codes =
        Arrays.stream(ErrorCode.values())
            .map(c -> List.of("`" + c.name() + "`", Integer.toString(c.httpStatus())))
            .toList();
    assertThat(rows("docs/ERRORS.md", 5, 2)).containsExactlyElementsIn(codes).inOrder();
  }

  /** Returns the first cells of all rows but headings, after a check that no cell is empty. */
  private static List<List<String>> rows(String page, int cells, int keys) throws IOException {
    List<List<String>> rows =
        Files.readAllLines(Path.of(page)).stream()
            .filter(l -> l.startsWith("|") && !l.matches("\\|(---| event | code ).*"))
            .map(l -> Splitter.on('|').trimResults().splitToList(l.substring(1, l.length() - 1)))
            .toList();
    rows.forEach(row -> assertThat(row).hasSize(cells));
    rows.forEach(row -> assertThat(row).doesNotContain(""));
    return rows.stream().map(row -> row.subList(0, keys)).toList();
  }
}
