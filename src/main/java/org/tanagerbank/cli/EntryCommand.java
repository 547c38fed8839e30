package org.tanagerbank.cli;

import java.io.PrintStream;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.tanagerbank.entry.Entry;
import org.tanagerbank.entry.EntrySettings;
import org.tanagerbank.http.AsyncHttpClient;
import org.tanagerbank.platformclient.HttpInstanceList;
import org.tanagerbank.platformclient.HttpLogService;
import org.tanagerbank.platformclient.SocketAddresses;

/** Runs an entry until the process receives a signal to stop. Not thread-safe. */
final class EntryCommand extends LinkedProcessCommand {
  private static final long PLATFORM_TIMEOUT_MILLIS = 2_000;

  /** The timeout for opening a connection to the platform; calls have their own timeouts. */
  private static final long CONNECT_TIMEOUT_MILLIS = 20_000;

  @Option(name = "--max-body-bytes", metaVar = "N", usage = "maximum size of a request body")
  private int maxBodyBytes = EntrySettings.MAX_BODY_BYTES;

  @Override
  public void validate(List<String> faults) {
    super.validate(faults);
    if (maxBodyBytes <= 0 || maxBodyBytes > EntrySettings.MAX_BODY_BYTES) {
      faults.add("--max-body-bytes: must be from 1 to " + EntrySettings.MAX_BODY_BYTES);
    }
  }

  @Override
  public int run(PrintStream out, PrintStream err) throws InterruptedException {
    AsyncHttpClient client = AsyncHttpClient.create(CONNECT_TIMEOUT_MILLIS);
    client.start();
    Entry entry =
        Entry.create(
            settings(),
            HttpInstanceList.create(
                client, SocketAddresses.parse(instances), PLATFORM_TIMEOUT_MILLIS),
            HttpLogService.create(client, SocketAddresses.parse(log), PLATFORM_TIMEOUT_MILLIS));
    entry.start();
    serve("entry", entry, entry::drain, entry.httpAddress(), entry.linkAddress(), out);
    return OK;
  }

  private EntrySettings settings() {
    return new EntrySettings(
        id,
        zone(),
        incarnation(),
        SocketAddresses.parse(httpAddress),
        SocketAddresses.parse(linkAddress),
        maxBodyBytes,
        drainLimitMillis);
  }
}
