package org.tanagerbank.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import org.kohsuke.args4j.Option;
import org.tanagerbank.demo.Demo;
import org.tanagerbank.demo.DemoResult;
import org.tanagerbank.demo.Deployment;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;

/** Runs a complete deployment on loopback in one process. Not thread-safe. */
final class DemoCommand implements Command {
  @Option(name = "--deployment", usage = "deployment to run", metaVar = "register|consortium")
  private Deployment deployment = Deployment.REGISTER;

  @Option(name = "--chats", usage = "number of chats", metaVar = "N")
  private int chats = 300;

  @Option(name = "--turns", usage = "number of requests of each chat", metaVar = "N")
  private int turns = 5;

  @Option(name = "--seed", usage = "determines the content of all requests", metaVar = "N")
  private long seed = 1;

  @Option(name = "--json", usage = "print one JSON object instead of a table")
  private boolean json;

  /** Reaches zero when the result is printed or the run has failed. */
  private final CountDownLatch printed = new CountDownLatch(1);

  @Override
  public void validate(List<String> faults) {
    if (chats < 1) {
      faults.add("--chats: must be at least 1, not " + chats);
    }
    if (turns < 1) {
      faults.add("--turns: must be at least 1, not " + turns);
    }
  }

  @Override
  public int run(PrintStream out, PrintStream err) throws InterruptedException {
    err.println("log events are written to " + redirectEventLog());
    Demo demo = new Demo(deployment, chats, turns, seed);
    Thread hook = new Thread(() -> drainOnShutdown(demo), "demo-drain");
    Runtime.getRuntime().addShutdownHook(hook);
    DemoResult result;
    try {
      result = demo.run(err);
      print(result, out);
      out.flush();
    } finally {
      printed.countDown();
    }
    return result.isCorrect() ? OK : FAILED;
  }

  /**
   * Redirects log events to a temporary file and returns its path.
   *
   * <p>The processes log hundreds of events while they stop, which would hide the table.
   */
  private static Path redirectEventLog() {
    try {
      Path log = Files.createTempFile("tanagerbank-demo-", ".log");
      EventLog.installQueued(
          new PrintStream(Files.newOutputStream(log), false, StandardCharsets.UTF_8));
      return log;
    } catch (IOException e) {
      throw TanagerException.failure(ErrorCode.INTERNAL, "cannot create a log file", e);
    }
  }

  /**
   * Waits, before the process exits, until requests in flight have ended and the table is printed.
   */
  private void drainOnShutdown(Demo demo) {
    try {
      demo.interrupt();
      printed.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void print(DemoResult result, PrintStream out) {
    if (json) {
      try {
        out.println(new ObjectMapper().writeValueAsString(result));
      } catch (JsonProcessingException e) {
        throw new IllegalStateException(e);
      }
      return;
    }
    row(out, "deployment", result.deployment());
    row(out, "requests", result.requests());
    row(out, "whole answers", result.wholeAnswers());
    row(out, "wrong answers", result.wrongAnswers());
    row(out, "failures by code", result.failures());
    row(out, "resends after NOT_RUN", result.resends());
    row(out, "cache reuse", String.format(Locale.ROOT, "%.3f", result.cacheReuse()));
    row(out, "load skew (largest / mean)", String.format(Locale.ROOT, "%.3f", result.loadSkew()));
    double control = result.controlBytesPerEntryPerSecond();
    row(out, "control bytes/s per entry", String.format(Locale.ROOT, "%.0f", control));
    row(out, "seconds", String.format(Locale.ROOT, "%.1f", result.seconds()));
  }

  private static void row(PrintStream out, String name, Object value) {
    out.printf("%-28s %s%n", name, value);
  }
}
