package review3;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A part of prompts crashes each worker that begins to write an answer on it. The prompts are those
 * of long chats: seventy parts go before it. No two of the requests with it are alike; sound ones
 * share their key and their other parts.
 */
final class DeadlyPart extends Script {
  private static final int WORKERS = 4;
  private static final long DOWN_MILLIS = 3_000;
  private static final long STABLE_MILLIS = 3_000;
  private static final int CRASHES = 5;
  private static final int MAX_AFTER = 3;
  private static final int MIN_SOUND = 20;
  private static final long DEADLY_GAP_MILLIS = 1_000;
  private static final long SOUND_GAP_MILLIS = 80;
  private static final long CALM_MILLIS = 8_000;
  private static final int PERIODS = 14;
  private static final long PERIOD_MILLIS = 5_000;
  private static final String KEY = "key-of-tenant-a";
  private static final int ID_DIGITS = 8;
  private static final int PARTS_BEFORE = 70;
  private static final int TOKENS_OF_PART = 20;
  private static final String DEADLY = id(2);

  /** The parts that all requests share, each with a comma after it. */
  private static final String SHARED = sharedParts();

  private final AtomicInteger crashes = new AtomicInteger();
  private final AtomicLong fifthCrashAt = new AtomicLong(Long.MAX_VALUE);
  private final AtomicInteger arrivedAfter = new AtomicInteger();
  private final Sound before = new Sound();
  private final Sound after = new Sound();
  private final Sound between = new Sound();
  private final AtomicInteger numbers = new AtomicInteger();
  private volatile boolean isDeadlySent;
  private volatile boolean isOver;

  /** Sound requests, and those of them that began. */
  private static final class Sound {
    private final AtomicInteger asked = new AtomicInteger();
    private final AtomicInteger begun = new AtomicInteger();

    @Override
    public String toString() {
      return begun.get() + " of " + asked.get();
    }
  }

  public static void main(String[] args) throws IOException {
    run(new DeadlyPart(), args);
  }

  private static String id(long seed) {
    Random random = new Random(seed);
    StringBuilder id = new StringBuilder("5");
    while (id.length() < ID_DIGITS) {
      id.append(Integer.toHexString(random.nextInt(16)));
    }
    return id.toString();
  }

  private static String sharedParts() {
    StringBuilder parts = new StringBuilder();
    for (int i = 0; i < PARTS_BEFORE; i++) {
      parts.append(id(100 + i)).append(":" + TOKENS_OF_PART + ",");
    }
    return parts.toString();
  }

  @Override
  boolean play() throws Exception {
    Store store = closing(new Store());
    for (int i = 1; i <= WORKERS; i++) {
      closing(new FragileWorker(store, "w-" + i, "model", hasTrouble ? DEADLY : "", DOWN_MILLIS,
          new Events()));
    }
    String stream = route("r-stream", "/stream/", "stream", "model", 6_000)
        .replace("\"sticky\":false", "\"sticky\":true");
    String config = new String(config(1, List.of(stream), "model", List.of(KEY)))
        .replace("\"tls\":false}", "\"tls\":false,\"engine\":{\"slots\":64,\"kv-capacity\":314968,"
            + "\"kv-token-bytes\":163840,\"link-mbps\":1100000.0,\"models\":[{\"name\":\"m\"}]}}");
    store.put("keyed.op", "config", Http.bytes(config));
    List<Gateway> gateways = List.of(
        closing(new Gateway("edge-1", folder, store)),
        closing(new Gateway("edge-2", folder, store)));
    for (Gateway gateway : gateways) {
      gateway.start();
    }
    for (Gateway gateway : gateways) {
      gateway.awaitReady();
    }
    record.line("the gateways are ready; the part that crashes workers is %s, after %d others",
        DEADLY, PARTS_BEFORE);
    Thread.sleep(4_000);
    for (int i = 0; i < 2; i++) {
      Gateway gateway = gateways.get(i);
      start(() -> every(2 * SOUND_GAP_MILLIS, () -> sound(gateway)));
    }
    Thread.sleep(CALM_MILLIS);
    isDeadlySent = true;
    for (int i = 0; i < 2; i++) {
      Gateway gateway = gateways.get(i);
      start(() -> every(2 * DEADLY_GAP_MILLIS, () -> deadly(gateway)));
      Thread.sleep(DEADLY_GAP_MILLIS);
    }
    for (int i = 0; i < PERIODS; i++) {
      Thread.sleep(PERIOD_MILLIS);
      record.line("so far: crashes %d; requests with the part that reached workers later than %d ms"
          + " after the fifth crash: %d", crashes.get(), STABLE_MILLIS, arrivedAfter.get());
    }
    isOver = true;
    record.line("sound requests that began at their first attempt: %s before the part came, %s until"
        + " %d ms after the fifth crash, %s later", before, between, 2 * STABLE_MILLIS, after);
    if (before.begun.get() < MIN_SOUND) {
      throw new IOException("only " + before + " sound requests began");
    }
    boolean isBudgetBroken = arrivedAfter.get() > MAX_AFTER;
    boolean isLostBroken =
        after.asked.get() >= MIN_SOUND
            && 2.0 * after.begun.get() / after.asked.get()
                < (double) before.begun.get() / before.asked.get();
    record.line("BUDGET %s, LOST %s", isBudgetBroken ? "broken" : "held",
        isLostBroken ? "broken" : "held");
    return isBudgetBroken;
  }

  private final class Events implements FragileWorker.Listener {
    @Override
    public void arrived(String worker, Http.Message request) {
      if (!request.header("Prompt-Prefix").orElse("").contains(DEADLY + ":")) {
        return;
      }
      boolean isAfter = record.nowMillis() - STABLE_MILLIS > fifthCrashAt.get();
      if (isAfter) {
        arrivedAfter.incrementAndGet();
      }
      record.line("%s gets %s with the part%s", worker, request.header("Request-Id").orElse(""),
          isAfter ? ", later than " + STABLE_MILLIS + " ms after the fifth crash" : "");
    }

    @Override
    public void crashed(String worker, Http.Message request) {
      int number = crashes.incrementAndGet();
      if (number == CRASHES) {
        fifthCrashAt.set(record.nowMillis());
      }
      record.line("%s crashes, the crash number %d", worker, number);
    }
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private void every(long millis, Runnable task) {
    try {
      while (!isOver) {
        start(task);
        Thread.sleep(millis);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void sound(Gateway gateway) {
    boolean isLater = record.nowMillis() - 2 * STABLE_MILLIS > fifthCrashAt.get();
    Sound period = !isDeadlySent ? before : isLater ? after : between;
    int status = call(gateway, "s", SHARED);
    if (!isOver) {
      period.asked.incrementAndGet();
      period.begun.addAndGet(status == 200 ? 1 : 0);
    }
  }

  private void deadly(Gateway gateway) {
    int status = call(gateway, "d", SHARED + DEADLY + ":" + TOKENS_OF_PART + ",");
    record.line("a request with the part: %s", status == 0 ? "no answer" : "status " + status);
  }

  /** Sends a request on a new channel and returns its status, or 0 without a whole answer. */
  private int call(Gateway gateway, String kind, String parts) {
    int number = numbers.incrementAndGet();
    String body = "{\"n\":" + number + "}";
    String head = Client.head("POST", "/stream/a", kind + number, KEY, 6_000, body.length());
    String prompt = "Model: m\r\nToken-Counts: 1700,80\r\nPrompt-Prefix: " + parts
        + id(1_000 + number) + ":250\r\n";
    try (Client client = new Client(gateway.front())) {
      Http.Message response =
          client.call(head.substring(0, head.length() - 2) + prompt + "\r\n", Http.bytes(body),
              7_000);
      return response == null ? 0 : response.status();
    } catch (IOException e) {
      return 0;
    }
  }
}
