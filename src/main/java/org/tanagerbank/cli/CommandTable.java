package org.tanagerbank.cli;

import com.google.common.collect.ImmutableMap;
import java.util.function.Supplier;

/**
 * The commands of the binary by name. A name may have two words, as in {@code config publish}.
 *
 * <p>Immutable and thread-safe.
 */
final class CommandTable {
  /** A command and the line that the overview prints for it. */
  record Row(String summary, Supplier<Command> factory) {}

  static final ImmutableMap<String, Row> ROWS =
      ImmutableMap.<String, Row>builder()
          .put("version", new Row("print the version", VersionCommand::new))
          .put("config check", new Row("check a declaration", ConfigCheckCommand::new))
          .put("config publish", new Row("publish a declaration", ConfigPublishCommand::new))
          .put("config show", new Row("print an accepted declaration", ConfigShowCommand::new))
          .put("config history", new Row("list publishes", ConfigHistoryCommand::new))
          .put("config diff", new Row("compare two revisions", ConfigDiffCommand::new))
          .buildOrThrow();

  private CommandTable() {}
}
