import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * A worker crashes and comes back while callers that read slowly get answers of it that have neither
 * a length nor chunks.
 */
final class SlowReaders {
  private static final int WORKERS = 4;
  private static final int CALLERS = 12;
  private static final int BODY_BYTES = 32 << 20;
  private static final int TIME_BUDGET_MILLIS = 15_000;
  private static final int CRASH_AFTER_MILLIS = 1_500;
  private static final int DOWN_MILLIS = 2_000;
  private static final int PAUSE_MILLIS = 5_000;
  private static final int PAUSE_STEP_MILLIS = 200;

  private SlowReaders() {}

  public static void main(String[] args) {
    Case.main(args[0], SlowReaders::run);
  }

  /** What a caller got: whether it ended as complete, and the bytes of its body. */
  private record Received(String id, boolean isComplete, int bytes) {}

  private static boolean run(Installation all) throws Exception {
    for (int i = 1; i <= WORKERS; i++) {
      all.addWorker("i-" + i, "v1", SlowReaders::answer);
    }
    all.putConfig(
        1,
        List.of(Installation.route("file", "non_idempotent", TIME_BUDGET_MILLIS, 2, false)),
        List.of("key1"));
    all.startGateways(2);
    Thread.sleep(4_000);
    Worker worker = all.workers.get(0);
    GatewayProcess gateway = all.gateways.get(0);
    ExecutorService callers = Executors.newCachedThreadPool();
    List<Future<Received>> answers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      int pauseMillis = PAUSE_MILLIS + i * PAUSE_STEP_MILLIS;
      String path = "/file/" + i;
      answers.add(callers.submit(() -> download(all.record, gateway, path, pauseMillis)));
    }
    Thread.sleep(CRASH_AFTER_MILLIS);
    if (Installation.hasTrouble()) {
      worker.crash();
      Thread.sleep(DOWN_MILLIS);
      worker.start("v1");
    }
    int wrong = 0;
    for (Future<Received> future : answers) {
      Received received = future.get(TIME_BUDGET_MILLIS + 10_000, TimeUnit.MILLISECONDS);
      boolean isWrong = received.isComplete() && received.bytes() != BODY_BYTES;
      wrong += isWrong ? 1 : 0;
    }
    callers.shutdownNow();
    all.record.add(
        "%d answers, %d that ended early looked complete (the whole body has %d bytes)",
        answers.size(), wrong, BODY_BYTES);
    return wrong > 0;
  }

  /** Sends a request, reads nothing of the answer for a while, and then all of it. */
  private static Received download(
      Record record, GatewayProcess gateway, String path, int pauseMillis) {
    String id = Caller.newId();
    record.add("caller sends %s %s, reads after %d ms", id, path, pauseMillis);
    int bytes = 0;
    boolean isComplete = false;
    String note = "";
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(16 << 10);
      socket.connect(new InetSocketAddress(gateway.ip, gateway.frontPort()), 1_000);
      socket.setSoTimeout(TIME_BUDGET_MILLIS);
      OutputStream out = socket.getOutputStream();
      out.write(Caller.head("GET", path, id, "key1", TIME_BUDGET_MILLIS, 0, "").getBytes());
      out.flush();
      Thread.sleep(pauseMillis);
      InputStream in = new BufferedInputStream(socket.getInputStream(), 64 << 10);
      Http.Head head = Http.readHead(in);
      note = head.firstLine();
      if (head.header("transfer-encoding").equals("chunked")) {
        byte[] buffer = new byte[64 << 10];
        int size = -1;
        while (size != 0) {
          size = Integer.parseInt(Http.readLine(in).trim(), 16);
          for (int left = size; left > 0; ) {
            int read = in.read(buffer, 0, Math.min(left, buffer.length));
            if (read < 0) {
              throw new IOException("end of stream in a chunk");
            }
            left -= read;
            bytes += read;
          }
          Http.readLine(in);
        }
        isComplete = true;
      }
    } catch (IOException | InterruptedException | RuntimeException e) {
      note += " " + e;
    }
    record.add("caller gets %s: %d bytes, ended as complete %s, %s", id, bytes, isComplete, note);
    return new Received(id, isComplete, bytes);
  }

  private static boolean answer(Worker worker, Http.Head head, int bodyLength, OutputStream out)
      throws IOException {
    Worker.write(out, Worker.success(head) + "Connection: close\r\n\r\n", new byte[0]);
    byte[] piece = new byte[64 << 10];
    Arrays.fill(piece, (byte) 'x');
    for (int sent = 0; sent < BODY_BYTES; sent += piece.length) {
      out.write(piece);
    }
    out.flush();
    return false;
  }
}
