package review3;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer adds entries to the list of workers: well formed, with a service that no config
 * names, and with the addresses of the workers of one service. A route to that service is added
 * later; another service goes on beside it.
 */
final class ForeignEntry extends Script {
  private static final int CALLERS = 4;
  private static final long SEND_GAP_MILLIS = 100;
  private static final long STEADY_MILLIS = 20_000;
  private static final int MIN_LATER = 20;
  private static final String KEY = "key-of-tenant-a";

  private final AtomicInteger firstAsked = new AtomicInteger();
  private final AtomicInteger firstServed = new AtomicInteger();
  private final AtomicInteger laterAsked = new AtomicInteger();
  private final AtomicInteger laterServed = new AtomicInteger();
  private volatile boolean isSteady;
  private volatile boolean isOver;

  public static void main(String[] args) throws IOException {
    run(new ForeignEntry(), args);
  }

  @Override
  boolean play() throws Exception {
    Store store = closing(new Store());
    List<Worker> extra = new ArrayList<>();
    for (int i = 1; i <= 2; i++) {
      closing(new Worker(store, "a-" + i, "app", 6, 30, r -> {}));
      extra.add(closing(new Worker(store, "e-" + i, "extra", 6, 30, r -> {})));
    }
    String first = route("r-first", "/first/", "non_idempotent", "app", 1_000);
    String later = route("r-later", "/later/", "non_idempotent", "extra", 1_000);
    store.put("keyed.op", "config", config(1, List.of(first)));
    Gateway gateway = closing(new Gateway("edge-1", folder, store));
    gateway.start();
    gateway.awaitReady();
    record.line("the gateway is ready");
    Thread.sleep(2_000);
    store.put("keyed.op", "config", config(2, List.of(first, later)));
    record.line("config 2, which adds the route r-later, is confirmed");
    Thread.sleep(4_000);
    for (int i = 0; i < CALLERS; i++) {
      int number = i;
      start(() -> send(gateway, "f" + number, "/first/a", firstAsked, firstServed));
      start(() -> send(gateway, "l" + number, "/later/a", laterAsked, laterServed));
    }
    Thread.sleep(3_000);
    if (hasTrouble) {
      for (int i = 0; i < extra.size(); i++) {
        String key = "other-" + (i + 1);
        String entry =
            extra.get(i).entry(key, "a-service-that-is-not-named", 1, System.currentTimeMillis());
        store.put("keyed.servers", key, Http.bytes(entry));
        record.line("another writer adds servers/%s: %s", key, entry);
      }
    }
    Thread.sleep(4_000);
    record.line("from here on it is counted");
    isSteady = true;
    Thread.sleep(STEADY_MILLIS / 2);
    if (hasTrouble) {
      for (int i = 0; i < extra.size(); i++) {
        store.put("keyed.servers", "other-" + (i + 1), new byte[0]);
      }
      record.line("the entries of the other writer are removed again; served until now: %d of %d"
          + " on r-later", laterServed.get(), laterAsked.get());
    }
    Thread.sleep(STEADY_MILLIS / 2);
    isOver = true;
    Thread.sleep(1_500);
    record.line("served: %d of %d on r-first, %d of %d on r-later", firstServed.get(),
        firstAsked.get(), laterServed.get(), laterAsked.get());
    if (firstServed.get() < 100 || laterAsked.get() < MIN_LATER) {
      throw new IOException("too few requests for the rule");
    }
    double firstShare = (double) firstServed.get() / firstAsked.get();
    double laterShare = (double) laterServed.get() / laterAsked.get();
    return laterShare < firstShare / 4;
  }

  private static byte[] config(long version, List<String> routes) {
    String one = new String(config(version, routes, "app", List.of(KEY)));
    return Http.bytes(
        one.replace(
            "\"services\":[",
            "\"services\":[{\"name\":\"extra\",\"health-path\":\"/healthz\",\"max-conns\":100,"
                + "\"protocol\":\"h1\",\"tls\":false},"));
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private void send(
      Gateway gateway, String name, String path, AtomicInteger asked, AtomicInteger served) {
    int last = 0;
    try (Client client = new Client(gateway.front())) {
      for (int i = 0; !isOver; i++) {
        String id = name + "-" + i;
        boolean isCounted = isSteady;
        int status = 0;
        try {
          Http.Message response =
              client.call(Client.head("POST", path, id, KEY, 1_000, 2), Http.bytes("{}"), 1_500);
          status = response == null ? 0 : response.status();
        } catch (IOException e) {
          // Counts as a request that was not served.
        }
        if (isCounted) {
          asked.incrementAndGet();
          served.addAndGet(status == 200 ? 1 : 0);
        }
        if (status != last) {
          record.line("caller %s: from request %s on, the status is %d", name, id, status);
          last = status;
        }
        Thread.sleep(SEND_GAP_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
