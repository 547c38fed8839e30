package org.tanagerbank.cli;

import com.google.common.collect.ImmutableMap;
import java.util.function.Supplier;
import org.tanagerbank.bench.BenchRoutingCommand;
import org.tanagerbank.bench.SlopeCommand;
import org.tanagerbank.explain.ExplainCommand;
import org.tanagerbank.losses.LossesCommand;
import org.tanagerbank.status.StatusCommand;

/**
 * Maps the names of commands to the commands of the binary.
 *
 * <p>A name may consist of two words, as in {@code config publish}. Immutable and thread-safe.
 */
final class CommandTable {
  /**
   * A command.
   *
   * @param summary the description that the overview of all commands prints
   * @param factory creates the command for one run
   */
  record Row(String summary, Supplier<Command> factory) {}

  static final ImmutableMap<String, Row> ROWS =
      ImmutableMap.<String, Row>builder()
          .put("entry", new Row("serve callers and route their requests", EntryCommand::new))
          .put("gateway", new Row("serve callers and call upstreams directly", GatewayCommand::new))
          .put("sidecar", new Row("serve one upstream as its sidecar", SidecarCommand::new))
          .put("config check", new Row("check a declaration", ConfigCheckCommand::new))
          .put("config publish", new Row("publish a declaration", ConfigPublishCommand::new))
          .put("config show", new Row("print an accepted declaration", ConfigShowCommand::new))
          .put("config history", new Row("list published declarations", ConfigHistoryCommand::new))
          .put("config diff", new Row("compare two revisions", ConfigDiffCommand::new))
          .put(
              "bench routing",
              new Row(
                  "compare routing with simple policies in simulated time",
                  BenchRoutingCommand::new))
          .put(
              "bench overhead",
              new Row("measure the overhead of entry and sidecar", BenchOverheadCommand::new))
          .put(
              "bench slopes",
              new Row("measure the cost of one more upstream, chat or record", SlopeCommand::new))
          .put(
              "explain",
              new Row("explain from logs what happened to a request", ExplainCommand::new))
          .put(
              "losses",
              new Row(
                  "sum up from logs which requests were lost, when and why", LossesCommand::new))
          .put("demo", new Row("run a complete deployment on loopback", DemoCommand::new))
          .put("standin log", new Row("run a stand-in of the log", StandinLogCommand::new))
          .put(
              "standin store",
              new Row("run a stand-in of the platform's store", StandinStoreCommand::new))
          .put("standin engine", new Row("run a stand-in of an engine", StandinEngineCommand::new))
          .put(
              "standin direct-engine",
              new Row(
                  "run a stand-in of an engine that gateways call directly",
                  StandinDirectEngineCommand::new))
          .put(
              "standin plain",
              new Row("run a stand-in of a plain service", StandinPlainCommand::new))
          .put(
              "standin instances",
              new Row("run a stand-in of the instance list", StandinInstancesCommand::new))
          .put(
              "standin weights",
              new Row("run a stand-in of the weight store", StandinWeightsCommand::new))
          .put("status", new Row("print the status of gateways", StatusCommand::new))
          .put("version", new Row("print the version", VersionCommand::new))
          .buildOrThrow();

  private CommandTable() {}
}
