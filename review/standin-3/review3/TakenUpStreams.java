package review3;

import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * All gateways are killed at the same moment while streams run, and start again. The requesters take
 * their streams up after pauses that grow; others begin new streams. All workers have one software
 * version. Without the disruption, the requesters' channels break and the gateways stay up.
 */
final class TakenUpStreams extends Script {
  private static final int STREAMS = 16;
  private static final int EVENTS = 70;
  private static final long EVENT_INTERVAL_MILLIS = 150;
  private static final long BUDGET_MILLIS = 15_000;
  private static final long DOWN_MILLIS = 1_400;
  private static final long STABLE_MILLIS = 3_000;

  /** The times of the tries after the channel has broken. */
  private static final List<Long> TRIES_AFTER_MILLIS = List.of(500L, 2_000L, 5_000L);

  private static final int MIN_TAKEN_UP = 12;
  private static final int NEW_STREAMS = 16;
  private static final String KEY = "key-of-tenant-a";

  private final AtomicInteger takenUp = new AtomicInteger();
  private final AtomicInteger wentOn = new AtomicInteger();
  private final AtomicInteger asked = new AtomicInteger();
  private final AtomicInteger begun = new AtomicInteger();
  private final Set<Socket> channels = ConcurrentHashMap.newKeySet();
  private volatile long inTouchFrom;

  public static void main(String[] args) throws IOException {
    run(new TakenUpStreams(), args);
  }

  /** What came of one request: its status (0 without one), and the last event. */
  private record Outcome(int status, int lastEvent, boolean isWhole) {}

  @Override
  boolean play() throws Exception {
    Store store = closing(new Store());
    for (int i = 1; i <= 3; i++) {
      closing(
          new StreamWorker(store, "w-" + i, "model", EVENTS, EVENT_INTERVAL_MILLIS,
              (worker, request) -> record.line("%s runs %s, Last-Event-Id %s", worker,
                  request.header("Request-Id").orElse(""),
                  request.header("Last-Event-Id").orElse("-"))));
    }
    String streams =
        route("r-stream", "/stream/", "stream", "model", BUDGET_MILLIS)
            .replace("\"resumable\":false", "\"resumable\":true");
    store.put("keyed.op", "config", config(1, List.of(streams), "model", List.of(KEY)));
    List<Gateway> gateways = List.of(
        closing(new Gateway("edge-1", folder, store)),
        closing(new Gateway("edge-2", folder, store)));
    for (Gateway gateway : gateways) {
      gateway.start();
    }
    for (Gateway gateway : gateways) {
      gateway.awaitReady();
    }
    record.line("the gateways are ready");
    // Longer than any history that the gateway could want before it serves.
    Thread.sleep(25_000);
    for (int i = 0; i < STREAMS; i++) {
      int number = i;
      start(() -> readStream(gateways, number));
    }
    Thread.sleep(3_000);
    if (hasTrouble) {
      for (Gateway gateway : gateways) {
        gateway.kill();
      }
      record.line("the gateways are killed");
      Thread.sleep(DOWN_MILLIS);
      for (Gateway gateway : gateways) {
        gateway.start();
      }
      inTouchFrom = record.nowMillis() + STABLE_MILLIS;
      record.line("the gateways are started again; in touch from %d ms on", inTouchFrom);
    } else {
      inTouchFrom = record.nowMillis();
      channels.forEach(TakenUpStreams::closeQuietly);
      record.line("the channels of the requesters break");
    }
    Thread.sleep(Math.max(0, inTouchFrom - record.nowMillis()));
    for (int i = 0; i < NEW_STREAMS; i++) {
      int number = i;
      start(() -> beginStream(gateways.get(number % gateways.size()), number));
      Thread.sleep(150);
    }
    Thread.sleep(13_000);
    record.line("taken up at a machine in touch: %d, went on: %d; new streams: %d, begun: %d",
        takenUp.get(), wentOn.get(), asked.get(), begun.get());
    if (begun.get() < NEW_STREAMS / 2 || takenUp.get() < MIN_TAKEN_UP) {
      throw new IOException("too few streams for the rule");
    }
    return (double) wentOn.get() / takenUp.get() < 0.5 * begun.get() / asked.get();
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  /** Reads a stream, and takes it up again after its channel has broken. */
  private void readStream(List<Gateway> gateways, int number) {
    Gateway gateway = gateways.get(number % gateways.size());
    long startedAt = record.nowMillis();
    String firstId = "st" + number + "-0";
    Outcome outcome = call(gateway, firstId, "", 0, BUDGET_MILLIS);
    long brokenAt = record.nowMillis();
    int lastEvent = outcome.lastEvent();
    boolean isTakenUp = false;
    boolean goesOn = false;
    for (int i = 0; i < TRIES_AFTER_MILLIS.size() && !outcome.isWhole() && !goesOn; i++) {
      sleep(brokenAt + TRIES_AFTER_MILLIS.get(i) - record.nowMillis());
      boolean isInTouch = inTouchFrom > 0 && record.nowMillis() >= inTouchFrom;
      isTakenUp |= isInTouch;
      long left = startedAt + BUDGET_MILLIS - record.nowMillis();
      // A retry reaches another gateway.
      Gateway other = gateways.get((number + 1) % gateways.size());
      outcome = call(other, "st" + number + "-" + (i + 1), firstId, lastEvent, left);
      goesOn = outcome.lastEvent() > lastEvent;
      lastEvent = Math.max(lastEvent, outcome.lastEvent());
    }
    if (isTakenUp) {
      takenUp.incrementAndGet();
      if (goesOn) {
        wentOn.incrementAndGet();
      }
    }
  }

  private void beginStream(Gateway gateway, int number) {
    asked.incrementAndGet();
    if (call(gateway, "new" + number, "", 0, BUDGET_MILLIS).lastEvent() > 0) {
      begun.incrementAndGet();
    }
  }

  /** Sends a request for a stream and reads what comes; the budget is that of the requester. */
  private Outcome call(
      Gateway gateway, String id, String resumes, int lastEvent, long budgetMillis) {
    int status = 0;
    int last = lastEvent;
    boolean isWhole = false;
    String end = "closed";
    try (Socket socket = new Socket()) {
      channels.add(socket);
      socket.connect(gateway.front(), 1_000);
      socket.setSoTimeout((int) Math.max(1, budgetMillis));
      String head = Client.head("POST", "/stream/a", id, KEY, budgetMillis, 2);
      String extra =
          resumes.isEmpty() ? "" : "Last-Event-Id: " + lastEvent + "\r\nResumes: " + resumes
              + "\r\n";
      socket.getOutputStream()
          .write(Http.bytes(head.substring(0, head.length() - 2) + extra + "\r\n{}"));
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(
                  new BufferedInputStream(socket.getInputStream()), StandardCharsets.ISO_8859_1));
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        if (line.startsWith("HTTP/1.1 ")) {
          status = Integer.parseInt(line.substring(9, 12));
        } else if (line.startsWith("id: ")) {
          last = Integer.parseInt(line.substring(4));
        } else if (status != 200 && line.isEmpty()) {
          break;
        } else if (line.equals("0")) {
          isWhole = true;
          break;
        }
      }
    } catch (IOException e) {
      end = e.getMessage();
    }
    record.line("request %s%s: status %d, events %d to %d, %s", id,
        resumes.isEmpty() ? "" : " (takes up " + resumes + ")", status, lastEvent + 1, last,
        isWhole ? "whole" : status == 0 || status == 200 ? "not whole: " + end : "refused");
    return new Outcome(status, last, isWhole);
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // Closing is all that is wanted.
    }
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
