package org.tanagerbank.cli;

import java.net.InetSocketAddress;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.tanagerbank.platform.standin.StoreFaults;
import org.tanagerbank.platform.standin.StoreStandin;
import org.tanagerbank.standin.Standin;

/** Runs the stand-in of the platform's store. Not thread-safe. */
final class StandinStoreCommand extends StandinCommand {
  @Option(name = "--page-items", usage = "number of newest records in a page")
  private int pageItems = 500;

  @Option(name = "--delay-millis", usage = "delay of every answer")
  private long delayMillis;

  StandinStoreCommand() {
    super("standin-store");
  }

  @Override
  public void validate(List<String> faults) {
    super.validate(faults);
    checkAtLeast(faults, "--page-items", pageItems, 1);
    checkAtLeast(faults, "--delay-millis", delayMillis, 0);
  }

  @Override
  Standin create(InetSocketAddress bind) {
    StoreStandin store = StoreStandin.create(bind, pageItems);
    store.setFaults(new StoreFaults(0, delayMillis, 0));
    return store;
  }
}
