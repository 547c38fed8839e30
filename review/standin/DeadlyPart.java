import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A part of long prompts crashes each worker that begins to write an answer on it. */
final class DeadlyPart {
  private static final int GATEWAYS = 8;
  private static final int WORKERS = 8;
  private static final int OTHER_PARTS = 20;
  private static final String DEADLY = "dead00dead";
  private static final int SECONDS = 60;
  private static final int GAP_MILLIS = 40;
  private static final int DEADLY_GAP_MILLIS = 1_500;
  private static final int DOWN_MILLIS = 2_000;
  private static final int STABLE_MILLIS = 3_000;
  private static final int COUNTED_CRASHES = 5;
  private static final int MAX_LATE = 3;
  private static final int TIME_BUDGET_MILLIS = 4_000;
  private static final int WRITE_AFTER_MILLIS = 100;
  private static final int EVENTS = 10;
  private static final int RUN_MILLIS = 1_000;

  /** The times of the crashes and of the arrivals of requests with the part. */
  private static final List<Long> CRASHES = new CopyOnWriteArrayList<>();

  private static final List<Long> ARRIVALS = new CopyOnWriteArrayList<>();

  /** The sound requests whose answers broke off. */
  private static final AtomicInteger BROKEN_OFF = new AtomicInteger();

  private static final ExecutorService THREADS = Executors.newCachedThreadPool();

  private DeadlyPart() {}

  public static void main(String[] args) {
    Case.main(args[0], DeadlyPart::run);
  }

  private static boolean run(Installation all) throws Exception {
    for (int i = 1; i <= WORKERS; i++) {
      all.addWorker("i-" + i + "7f3a91c2", "v1", DeadlyPart::answer);
      Thread.sleep(100);
    }
    all.putConfig(
        1,
        List.of(Installation.route("draft", "stream", TIME_BUDGET_MILLIS, 2, true)),
        List.of("key1"));
    all.startGateways(GATEWAYS);
    Thread.sleep(13_000);
    long start = Record.nowMillis();
    int n = 0;
    while (Record.nowMillis() - start < SECONDS * 1_000L) {
      boolean isDeadly = Installation.hasTrouble() && n % (DEADLY_GAP_MILLIS / GAP_MILLIS) == 0;
      GatewayProcess gateway =
          all.gateways.get(ThreadLocalRandom.current().nextInt(all.gateways.size()));
      String path = "/draft/" + n++;
      String prompt = prompt(isDeadly);
      THREADS.execute(
          () -> {
            Caller.Answer answer =
                Caller.send(
                    all.record, gateway, "POST", path, "key1", TIME_BUDGET_MILLIS, prompt);
            if (!isDeadly && answer.status() == 200 && !answer.isComplete()) {
              BROKEN_OFF.incrementAndGet();
            }
          });
      Thread.sleep(GAP_MILLIS);
    }
    THREADS.awaitTermination(5, TimeUnit.SECONDS);
    THREADS.shutdownNow();
    boolean hasFifth = CRASHES.size() >= COUNTED_CRASHES;
    long from = hasFifth ? CRASHES.get(COUNTED_CRASHES - 1) + STABLE_MILLIS : Long.MAX_VALUE;
    long late = ARRIVALS.stream().filter(t -> t > from).count();
    for (GatewayProcess gateway : all.gateways) {
      int unreadable = gateway.logLines("PEER_MESSAGE_UNREADABLE").size();
      all.record.add("%s logged %d unreadable messages of others", gateway.name, unreadable);
    }
    all.record.add("%d answers to sound requests broke off", BROKEN_OFF.get());
    all.record.add(
        "%d crashes; %d requests with the part reached workers, %d of them later than %d ms after"
            + " the fifth crash",
        CRASHES.size(), ARRIVALS.size(), late, STABLE_MILLIS);
    return late > MAX_LATE;
  }

  private static String prompt(boolean isDeadly) {
    List<String> parts = new ArrayList<>();
    parts.add("5c1e07a2:800");
    if (isDeadly) {
      parts.add(DEADLY + ":200");
    }
    long chat = ThreadLocalRandom.current().nextLong(60);
    for (int i = 0; i < OTHER_PARTS; i++) {
      parts.add(String.format("%08x:150", 0x10000000L + chat * 1000 + i));
    }
    parts.add(String.format("%08x:250", ThreadLocalRandom.current().nextLong(1L << 31)));
    return "Model: m\r\nToken-Counts: "
        + (1250 + OTHER_PARTS * 150)
        + ",80\r\nPrompt-Prefix: "
        + String.join(",", parts)
        + "\r\n";
  }

  private static boolean answer(Worker worker, Http.Head head, int bodyLength, OutputStream out)
      throws IOException, InterruptedException {
    boolean isDeadly = head.header("prompt-prefix").contains(DEADLY);
    if (isDeadly) {
      ARRIVALS.add(Record.nowMillis());
    }
    Thread.sleep(WRITE_AFTER_MILLIS);
    if (isDeadly && worker.isUp()) {
      CRASHES.add(Record.nowMillis());
      worker.crash();
      THREADS.execute(() -> restart(worker));
      return false;
    }
    String last = head.header("last-event-id");
    int first = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
    Worker.write(
        out,
        Worker.success(head)
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        new byte[0]);
    for (int i = first; i <= EVENTS; i++) {
      Worker.writeChunk(out, "id: " + i + "\ndata: x\n\n");
      Thread.sleep(RUN_MILLIS / EVENTS);
    }
    Worker.write(out, "0\r\n\r\n", new byte[0]);
    return true;
  }

  private static void restart(Worker worker) {
    try {
      Thread.sleep(DOWN_MILLIS);
      worker.start("v1");
    } catch (IOException | InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
