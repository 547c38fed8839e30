package review3;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A gateway is cut off from the store and the other gateways. Meanwhile the operator writes a
 * series of large configurations, and then takes a key away. Its holder goes on to send requests.
 */
final class RevokedKey extends Script {
  private static final long CUT_MILLIS = 9_000;
  private static final int STORM_VERSIONS = 25;
  private static final long STORM_GAP_MILLIS = 60;
  private static final int ADDED_ROUTES = 488;
  private static final long REVOKE_MILLIS = 5_000;
  private static final int CALLERS = 2;
  private static final long SEND_GAP_MILLIS = 50;
  private static final String REVOKED = "key-that-is-revoked";
  private static final String KEPT = "key-that-is-kept";

  private final Map<String, Long> sentAt = new ConcurrentHashMap<>();
  private final AtomicLong revokedAt = new AtomicLong(Long.MAX_VALUE);
  private final AtomicInteger lateRuns = new AtomicInteger();
  private final AtomicInteger runs = new AtomicInteger();
  private volatile boolean isOver;
  private long version = 1;

  public static void main(String[] args) throws IOException {
    run(new RevokedKey(), args);
  }

  @Override
  boolean play() throws Exception {
    Store store = closing(new Store());
    for (int i = 1; i <= 3; i++) {
      closing(new Worker(store, "w-" + i, "app", 6, 30, this::onRun));
    }
    write(store, List.of(REVOKED, KEPT));
    Gateway gateway = closing(new Gateway("edge-1", folder, store));
    gateway.start();
    gateway.awaitReady();
    record.line("the gateway is ready");
    for (int i = 0; i < CALLERS; i++) {
      int number = i;
      Thread caller = new Thread(() -> send(gateway, number));
      caller.setDaemon(true);
      caller.start();
    }
    Thread.sleep(4_000);
    if (hasTrouble) {
      store.setSilent(true);
      record.line("the store is silent towards the gateway");
    }
    long cutAt = record.nowMillis();
    Thread.sleep(300);
    for (int i = 0; i < STORM_VERSIONS; i++) {
      write(store, List.of(REVOKED, KEPT));
      Thread.sleep(STORM_GAP_MILLIS);
    }
    write(store, List.of(KEPT));
    revokedAt.set(record.nowMillis());
    record.line("the key is revoked, and the store has confirmed it");
    Thread.sleep(Math.max(0, cutAt + CUT_MILLIS - record.nowMillis()));
    store.setSilent(false);
    record.line("the store answers the gateway");
    Thread.sleep(6_000);
    isOver = true;
    Thread.sleep(500);
    record.line("requests run: %d; run though sent later than %d ms after the revocation: %d",
        runs.get(), REVOKE_MILLIS, lateRuns.get());
    if (runs.get() < 100) {
      throw new IOException("only " + runs.get() + " requests ran");
    }
    return lateRuns.get() > 0;
  }

  /** Writes the next version: one route that is used, and many that were added. */
  private void write(Store store, List<String> keys) {
    List<String> routes = new ArrayList<>();
    routes.add(route("r-used", "/used/", "non_idempotent", "app", 1_000));
    for (int i = 0; i < ADDED_ROUTES; i++) {
      routes.add(route("r-added-" + i, "/added" + i + "/", "non_idempotent", "app", 1_000));
    }
    byte[] config = config(version, routes, "app", keys);
    store.put("keyed.op", "config", config);
    record.line("config %d confirmed, %d bytes, keys %s", version++, config.length, keys);
  }

  private void onRun(Http.Message request) {
    long now = record.nowMillis();
    runs.incrementAndGet();
    String id = request.header("Request-Id").orElse("");
    long sent = sentAt.getOrDefault(id, 0L);
    if (sent > revokedAt.get()) {
      record.line("run %s, tenant %s, sent %d ms after the revocation", id,
          request.header("Tenant").orElse("-"), sent - revokedAt.get());
      if (sent > revokedAt.get() + REVOKE_MILLIS) {
        lateRuns.incrementAndGet();
      }
    }
  }

  private void send(Gateway gateway, int number) {
    int last = 0;
    try (Client client = new Client(gateway.front())) {
      for (int i = 0; !isOver; i++) {
        String id = "c" + number + "-" + i;
        sentAt.put(id, record.nowMillis());
        int status = 0;
        try {
          Http.Message response =
              client.call(
                  Client.head("POST", "/used/a", id, REVOKED, 1_000, 2), Http.bytes("{}"), 2_000);
          status = response == null ? 0 : response.status();
        } catch (IOException e) {
          // Counts as a request without an answer.
        }
        if (status != last) {
          record.line("caller %d: from request %s on, the status is %d", number, id, status);
          last = status;
        }
        Thread.sleep(SEND_GAP_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
