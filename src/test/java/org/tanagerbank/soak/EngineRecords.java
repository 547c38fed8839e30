package org.tanagerbank.soak;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.tanagerbank.standin.direct.RunRecord;

/** Reads what engines recorded. Stateless and thread-safe. */
final class EngineRecords {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private EngineRecords() {}

  /**
   * Reads the file that all engines of a run append to.
   *
   * @return the records in the order of their times
   * @throws IOException if the file cannot be read or a line is not a record
   */
  static List<RunRecord> read(Path file) throws IOException {
    List<RunRecord> records = new ArrayList<>();
    for (String line : Files.readAllLines(file)) {
      records.add(MAPPER.readValue(line, RunRecord.class));
    }
    records.sort(Comparator.comparingLong(RunRecord::atMicros));
    return records;
  }
}
