import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A stand-in of the platform's store: keyed topics with one partition each. Thread-safe.
 *
 * <p>It can be away for a while, and it can come back from a copy that is some seconds old.
 */
final class Store implements AutoCloseable {
  private static final int OK = 200;
  private static final int GONE = 410;
  private static final int MAX_ITEMS = 500;
  private static final long APPEND_MILLIS = 4;

  /** A record of a topic; a null value removes the key. */
  private record Entry(String key, byte[] value, long writtenAtNanos) {}

  private record Reply(int status, byte[] body) {}

  @FunctionalInterface
  private interface Call {
    Reply handle(Map<String, String> query, byte[] body) throws IOException, InterruptedException;
  }

  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final Map<String, List<Entry>> topics = new HashMap<>();
  private boolean isAway;
  private long era = 1;

  Store(String ip) throws IOException {
    server = HttpServer.create(new InetSocketAddress(ip, 0), 200);
    server.setExecutor(threads);
    server.createContext("/-/log-newest", e -> answer(e, this::newest));
    server.createContext("/-/log-read", e -> answer(e, this::read));
    server.createContext("/-/log-append", e -> answer(e, this::append));
    server.start();
  }

  String address() {
    return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
  }

  /** Writes a record as the operator or a worker does; returns false while the store is away. */
  synchronized boolean put(String topic, String key, String value) {
    if (isAway) {
      return false;
    }
    add(topic, key, value == null ? null : value.getBytes(StandardCharsets.UTF_8));
    return true;
  }

  private void add(String topic, String key, byte[] value) {
    records(topic).add(new Entry(key, value, System.nanoTime()));
    notifyAll();
  }

  private List<Entry> records(String topic) {
    return topics.computeIfAbsent(topic, t -> new ArrayList<>());
  }

  synchronized long end(String topic) {
    return records(topic).size();
  }

  /** Lets the store be away: it answers no call until {@link #comeBack}. */
  synchronized void goAway() {
    isAway = true;
    notifyAll();
  }

  /** Ends the absence; what was written in the last {@code lostMillis} before it began is gone. */
  synchronized void comeBack(long awaySinceNanos, long lostMillis) {
    long copyNanos = awaySinceNanos - lostMillis * 1_000_000;
    topics.values().forEach(t -> t.removeIf(e -> e.writtenAtNanos() > copyNanos));
    era++;
    isAway = false;
    notifyAll();
  }

  private void answer(HttpExchange exchange, Call call) throws IOException {
    try (exchange) {
      byte[] body = exchange.getRequestBody().readAllBytes();
      Reply reply = call.handle(query(exchange.getRequestURI().getRawQuery()), body);
      synchronized (this) {
        if (reply == null || isAway) {
          throw new IOException("away");
        }
        exchange.getResponseHeaders().set("Store-Era", Long.toString(era));
      }
      int length = reply.body().length;
      exchange.sendResponseHeaders(reply.status(), length == 0 ? -1 : length);
      exchange.getResponseBody().write(reply.body());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Map<String, String> query(String text) {
    Map<String, String> query = new HashMap<>();
    for (String pair : text.split("&", -1)) {
      int equals = pair.indexOf('=');
      query.put(pair.substring(0, equals), pair.substring(equals + 1));
    }
    return query;
  }

  private synchronized Reply newest(Map<String, String> query, byte[] body) {
    List<Entry> records = records(query.get("topic"));
    Map<String, String> items = new TreeMap<>();
    for (int i = 0; i < records.size(); i++) {
      Entry entry = records.get(i);
      if (entry.value() == null) {
        items.remove(entry.key());
      } else {
        String value = Base64.getEncoder().encodeToString(entry.value());
        items.put(
            entry.key(),
            String.format("{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%d}", entry.key(), value, i));
      }
    }
    items.keySet().removeIf(k -> k.compareTo(query.getOrDefault("after", "")) <= 0);
    List<String> page = items.values().stream().limit(MAX_ITEMS).toList();
    String json =
        String.format(
            "{\"items\":[%s],\"more\":%s,\"end\":%d}",
            String.join(",", page), items.size() > MAX_ITEMS, records.size());
    return new Reply(OK, json.getBytes(StandardCharsets.UTF_8));
  }

  private synchronized Reply read(Map<String, String> query, byte[] body)
      throws IOException, InterruptedException {
    List<Entry> records = records(query.get("topic"));
    int from = Integer.parseInt(query.get("from"));
    long waitMillis = Long.parseLong(query.getOrDefault("wait-ms", "0"));
    long until = System.nanoTime() + waitMillis * 1_000_000;
    long readEra = era;
    while (records.size() == from && !isAway && era == readEra && System.nanoTime() < until) {
      wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
    }
    if (isAway || era != readEra) {
      return null;
    }
    if (from > records.size()) {
      return new Reply(GONE, "{\"first\":0}".getBytes(StandardCharsets.UTF_8));
    }
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    out.writeLong(records.size());
    out.writeLong(0);
    for (Entry entry : records.subList(from, records.size())) {
      byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
      byte[] value = entry.value() == null ? new byte[0] : entry.value();
      out.writeInt(1 + key.length + value.length);
      out.writeByte(key.length);
      out.write(key);
      out.write(value);
    }
    return new Reply(OK, bytes.toByteArray());
  }

  private Reply append(Map<String, String> query, byte[] body) throws InterruptedException {
    Thread.sleep(APPEND_MILLIS);
    synchronized (this) {
      if (isAway) {
        return null;
      }
      String topic = query.get("topic");
      long offset = end(topic);
      ByteBuffer bytes = ByteBuffer.wrap(body);
      while (bytes.remaining() >= Integer.BYTES) {
        byte[] content = new byte[bytes.getInt()];
        bytes.get(content);
        int keyLength = Byte.toUnsignedInt(content[0]);
        String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
        int valueLength = content.length - 1 - keyLength;
        byte[] value = new byte[valueLength];
        System.arraycopy(content, 1 + keyLength, value, 0, valueLength);
        add(topic, key, valueLength == 0 ? null : value);
      }
      String json = String.format("{\"offset\":%d,\"end\":%d}", offset, end(topic));
      return new Reply(OK, json.getBytes(StandardCharsets.UTF_8));
    }
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
