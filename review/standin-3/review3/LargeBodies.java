package review3;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Twelve requesters each send a body that is a little smaller than max-body-bytes, at the same time,
 * over links of some 30 Mbit/s. Others go on with small requests on kept channels, on a route with a
 * timeout of a second.
 */
final class LargeBodies extends Script {
  private static final int BODY_BYTES = 4_000_000;
  private static final int UPLOADS = 12;
  private static final int PIECE_BYTES = 64_000;
  private static final long PIECE_MILLIS = 16;
  private static final long UPLOAD_DEADLINE_MILLIS = 6_000;
  private static final int CALLERS = 10;
  private static final long SEND_GAP_MILLIS = 400;
  private static final long TIMEOUT_MILLIS = 1_000;
  private static final long SLACK_MILLIS = 500;
  private static final int DEADLINE_MILLIS = 3_000;
  private static final int MIN_UNANSWERED = 8;
  private static final String KEY = "key-of-tenant-a";

  private final AtomicInteger ran = new AtomicInteger();
  private final AtomicInteger overTimeout = new AtomicInteger();
  private final AtomicInteger unanswered = new AtomicInteger();
  private final AtomicInteger answeredInTime = new AtomicInteger();
  private volatile boolean isOver;

  public static void main(String[] args) throws IOException {
    run(new LargeBodies(), args);
  }

  @Override
  boolean play() throws Exception {
    Store store = closing(new Store());
    for (int i = 1; i <= 3; i++) {
      closing(new Worker(store, "w-" + i, "app", 6, 30, r -> ran.incrementAndGet()));
    }
    List<String> routes =
        List.of(
            route("r-small", "/small/", "non_idempotent", "app", TIMEOUT_MILLIS),
            route("r-large", "/large/", "non_idempotent", "app", UPLOAD_DEADLINE_MILLIS));
    store.put("keyed.op", "config", config(1, routes, "app", List.of(KEY)));
    Gateway gateway = closing(new Gateway("edge-1", folder, store));
    gateway.start();
    gateway.awaitReady();
    record.line("the gateway is ready");
    for (int i = 0; i < CALLERS; i++) {
      int number = i;
      start(() -> sendSmall(gateway, number));
    }
    Thread.sleep(8_000);
    record.line("so far %d requests ran, %d were answered in time", ran.get(),
        answeredInTime.get());
    if (hasTrouble) {
      for (int i = 0; i < UPLOADS; i++) {
        int number = i;
        start(() -> upload(gateway, number));
      }
    } else {
      for (int i = 0; i < UPLOADS; i++) {
        upload(gateway, i);
      }
    }
    boolean wasReady = true;
    for (int i = 0; i < 15; i++) {
      long from = record.nowMillis();
      boolean isReady = gateway.isReady();
      if (isReady != wasReady) {
        record.line("the question whether the gateway is ready: %s", isReady ? "200" : "no 200");
        wasReady = isReady;
      }
      Thread.sleep(Math.max(0, from + 1_000 - record.nowMillis()));
    }
    isOver = true;
    Thread.sleep(DEADLINE_MILLIS + 500);
    record.line("process of the gateway alive: %s", gateway.process().isAlive());
    record.line(
        "small requests: answered by the timeout of %d ms: %d; not answered then: %d; of these"
            + " without an answer %d ms later: %d",
        TIMEOUT_MILLIS, answeredInTime.get(), overTimeout.get(), SLACK_MILLIS, unanswered.get());
    if (answeredInTime.get() < 50) {
      throw new IOException("only " + answeredInTime.get() + " requests were answered in time");
    }
    return unanswered.get() >= MIN_UNANSWERED && 4 * unanswered.get() > overTimeout.get();
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private void sendSmall(Gateway gateway, int number) {
    try (Client client = new Client(gateway.front())) {
      for (int i = 0; !isOver; i++) {
        String id = "s" + number + "-" + i;
        long sentAt = record.nowMillis();
        String answer;
        long millis;
        try {
          Http.Message response =
              client.call(Client.head("POST", "/small/a", id, KEY, DEADLINE_MILLIS, 100),
                  new byte[100], DEADLINE_MILLIS);
          answer = response == null ? "closed" : "status " + response.status();
          millis = response == null ? Long.MAX_VALUE : record.nowMillis() - sentAt;
        } catch (IOException e) {
          answer = "no answer (" + e.getMessage() + ")";
          millis = Long.MAX_VALUE;
        }
        count(id, answer, sentAt, millis);
        Thread.sleep(SEND_GAP_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void count(String id, String answer, long sentAt, long millis) {
    if (millis <= TIMEOUT_MILLIS) {
      answeredInTime.incrementAndGet();
      return;
    }
    overTimeout.incrementAndGet();
    if (millis > TIMEOUT_MILLIS + SLACK_MILLIS) {
      unanswered.incrementAndGet();
    }
    record.line("%s, sent at %d ms: %s after %d ms", id, sentAt, answer,
        record.nowMillis() - sentAt);
  }

  private void upload(Gateway gateway, int number) {
    record.line("upload %d: %d bytes", number, BODY_BYTES);
    long from = record.nowMillis();
    try (Client client = new Client(gateway.front())) {
      Http.Message response =
          client.upload(
              Client.head(
                  "POST", "/large/a", "u" + number, KEY, UPLOAD_DEADLINE_MILLIS, BODY_BYTES),
              BODY_BYTES, PIECE_BYTES, PIECE_MILLIS, (int) UPLOAD_DEADLINE_MILLIS + 1_000);
      record.line("upload %d: %s after %d ms", number,
          response == null ? "closed without an answer" : "status " + response.status(),
          record.nowMillis() - from);
    } catch (IOException e) {
      record.line("upload %d: %s after %d ms", number, e.getMessage(), record.nowMillis() - from);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
