import java.nio.file.Path;

/** Runs a case and maps its result to the exit status: 1 broken, 0 held, 2 could not run. */
final class Case {
  @FunctionalInterface
  interface Body {
    /** Returns whether the rule was broken. */
    boolean run(Installation installation) throws Exception;
  }

  /** Longer than any case takes, and less than a case may take. */
  private static final long MAX_MILLIS = 110_000;

  private Case() {}

  static void main(String recordFile, Body body) {
    int status = 2;
    Thread limit = new Thread(Case::endAfterLimit);
    limit.setDaemon(true);
    limit.start();
    try (Record record = new Record(Path.of(recordFile))) {
      record.add("disruption: %s", Installation.hasTrouble());
      try (Installation installation = new Installation(record)) {
        boolean isBroken = body.run(installation);
        record.add(isBroken ? "the rule was broken" : "the rule held");
        status = isBroken ? 1 : 0;
      } catch (Exception e) {
        record.add("could not run: %s", e);
        e.printStackTrace();
      }
    } catch (java.io.IOException e) {
      e.printStackTrace();
    }
    System.exit(status);
  }

  private static void endAfterLimit() {
    try {
      Thread.sleep(MAX_MILLIS);
      System.exit(2);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
