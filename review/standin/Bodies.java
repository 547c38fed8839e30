import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Many callers send large bodies, within the limits of the config, at the same time. */
final class Bodies {
  private static final int UPLOADS = 300;
  private static final int BODY_BYTES = 100_000;
  private static final int PIECE_BYTES = 64 << 10;
  private static final int PIECE_MILLIS = 30;
  private static final int UPLOAD_BUDGET_MILLIS = 6_000;
  private static final int WORK_MILLIS = 3_000;
  private static final int SMALL_WORK_MILLIS = 40;
  private static final int SMALL_REQUESTS = 40;
  private static final int SMALL_GAP_MILLIS = 100;
  private static final int SMALL_TIMEOUT_MILLIS = 1_500;
  private static final int SMALL_BUDGET_MILLIS = 4_000;
  private static final int SLACK_MILLIS = 500;
  private static final int MIN_LATE = 8;

  private Bodies() {}

  public static void main(String[] args) {
    Case.main(args[0], Bodies::run);
  }

  /** The answer to a request and the time that it took. */
  private record Timed(Caller.Answer answer, long millis) {}

  private static boolean run(Installation all) throws Exception {
    all.addWorker("i-1", "v1", Bodies::answer);
    all.addWorker("i-2", "v1", Bodies::answer);
    all.putConfig(
        1,
        List.of(
            Installation.route("entry", "non_idempotent", UPLOAD_BUDGET_MILLIS, 2, false),
            Installation.route("status", "idempotent", SMALL_TIMEOUT_MILLIS, 2, false)),
        List.of("key1"));
    all.startGateways(2);
    Thread.sleep(4_000);
    GatewayProcess gateway = all.gateways.get(0);
    ExecutorService callers = Executors.newCachedThreadPool();
    List<Future<Timed>> uploads = new ArrayList<>();
    int count = Installation.hasTrouble() ? UPLOADS : 1;
    for (int i = 0; i < count; i++) {
      String path = "/entry/" + i;
      uploads.add(
          callers.submit(() -> send(all.record, gateway, path, BODY_BYTES, UPLOAD_BUDGET_MILLIS)));
    }
    List<Future<Timed>> small = new ArrayList<>();
    for (int i = 0; i < SMALL_REQUESTS; i++) {
      String path = "/status/" + i;
      small.add(callers.submit(() -> send(all.record, gateway, path, 10, SMALL_BUDGET_MILLIS)));
      Thread.sleep(SMALL_GAP_MILLIS);
    }
    int unansweredUploads = 0;
    for (Future<Timed> future : uploads) {
      unansweredUploads += future.get(30, TimeUnit.SECONDS).answer().status() == 0 ? 1 : 0;
    }
    int atTimeout = 0;
    int late = 0;
    for (Future<Timed> future : small) {
      Timed timed = future.get(30, TimeUnit.SECONDS);
      atTimeout += timed.millis() > SMALL_TIMEOUT_MILLIS ? 1 : 0;
      late += timed.millis() > SMALL_TIMEOUT_MILLIS + SLACK_MILLIS ? 1 : 0;
    }
    callers.shutdownNow();
    all.record.add("gateway %s: %s", gateway.name, gateway.exitStatus());
    all.record.add(
        "%d uploads, %d without an answer; %d small requests, %d unanswered at the timeout of their"
            + " route, %d of these also %d ms later",
        uploads.size(), unansweredUploads, small.size(), atTimeout, late, SLACK_MILLIS);
    return late >= MIN_LATE && 2 * late > atTimeout;
  }

  private static Timed send(
      Record record, GatewayProcess gateway, String path, int size, int budgetMillis) {
    String id = Caller.newId();
    record.add("caller sends %s %s with %d bytes", id, path, size);
    long startMillis = Record.nowMillis();
    Caller.Answer answer;
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(gateway.ip, gateway.frontPort()), 1_000);
      socket.setSoTimeout(15_000);
      OutputStream out = socket.getOutputStream();
      out.write(Caller.head("POST", path, id, "key1", budgetMillis, size, "").getBytes());
      for (int left = size; left > 0; left -= PIECE_BYTES) {
        out.write(new byte[Math.min(left, PIECE_BYTES)]);
        out.flush();
        Thread.sleep(left > PIECE_BYTES ? PIECE_MILLIS : 0);
      }
      answer = Caller.readAnswer(id, new BufferedInputStream(socket.getInputStream()));
    } catch (IOException | InterruptedException e) {
      answer = new Caller.Answer(id, 0, "", false, e.toString(), null);
    }
    long millis = Record.nowMillis() - startMillis;
    record.add(
        "caller gets %s after %d ms: status %d, complete %s %s",
        id, millis, answer.status(), answer.isComplete(), answer.note());
    return new Timed(answer, millis);
  }

  private static boolean answer(Worker worker, Http.Head head, int bodyLength, OutputStream out)
      throws IOException, InterruptedException {
    Thread.sleep(head.path().startsWith("/status") ? SMALL_WORK_MILLIS : WORK_MILLIS);
    Worker.write(out, Worker.success(head) + "Content-Length: 4\r\n\r\n", "done".getBytes());
    return true;
  }
}
