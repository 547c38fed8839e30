package org.tanagerbank.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.tanagerbank.store.KeyedRecord;

/**
 * A fake of the platform's store for tests: keyed topics with one partition each. Thread-safe.
 *
 * <p>{@link #setStatus} makes all calls fail, {@link #trim} deletes old records, and {@link
 * #restore} goes back to an earlier copy of all topics.
 */
public final class FakeStore implements AutoCloseable {
  private static final int STATUS_OK = 200;
  private static final int STATUS_GONE = 410;
  private static final int PAGE_ITEMS = 2;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final Map<String, List<KeyedRecord>> topics = new HashMap<>();
  private int status = STATUS_OK;
  private long first;
  private long era = 1;
  private Runnable afterPage = () -> {};

  /** Starts a fake store that listens on a free port. */
  public FakeStore() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
    server.setExecutor(threads);
    server.createContext("/-/log-newest", e -> answer(e, this::newest));
    server.createContext("/-/log-read", e -> answer(e, this::read));
    server.createContext("/-/log-append", e -> answer(e, this::append));
    server.start();
  }

  /** Returns the address on which the store listens. */
  public InetSocketAddress address() {
    return server.getAddress();
  }

  /** Appends a record, as the operator or an upstream does; an empty value removes the key. */
  public synchronized void put(String topic, String key, Optional<byte[]> value) {
    topics.computeIfAbsent(topic, t -> new ArrayList<>()).add(new KeyedRecord(key, value));
    notifyAll();
  }

  /** Sets the HTTP status of all later answers; 200 restores normal answers. */
  public synchronized void setStatus(int value) {
    status = value;
    notifyAll();
  }

  /** Deletes the records before an offset. The newest record of each key can still be read. */
  public synchronized void trim(long offset) {
    first = offset;
  }

  /** The records of all topics at one time. Immutable. */
  public record Copy(Map<String, List<KeyedRecord>> topics) {}

  /** Returns a copy to which the store can go back. */
  public synchronized Copy copy() {
    Map<String, List<KeyedRecord>> copied = new HashMap<>();
    topics.forEach((topic, records) -> copied.put(topic, List.copyOf(records)));
    return new Copy(copied);
  }

  /** Goes back to a copy, in a new era. What was written since is lost; offsets go back. */
  public synchronized void restore(Copy copy) {
    topics.clear();
    copy.topics().forEach((topic, records) -> topics.put(topic, new ArrayList<>(records)));
    era++;
    notifyAll();
  }

  /** Makes the store name another era in its answers. */
  synchronized void setEra(long value) {
    era = value;
  }

  /** Sets an action that runs once, after the next page of newest records was read. */
  public synchronized void afterNextPage(Runnable action) {
    afterPage = action;
  }

  private record Reply(int status, byte[] body) {}

  @FunctionalInterface
  private interface Call {
    Reply handle(Map<String, String> query, byte[] body) throws IOException, InterruptedException;
  }

  private void answer(HttpExchange exchange, Call call) throws IOException {
    try (exchange) {
      byte[] body = exchange.getRequestBody().readAllBytes();
      Reply reply = call.handle(query(exchange.getRequestURI().getRawQuery()), body);
      synchronized (this) {
        reply = status == STATUS_OK ? reply : new Reply(status, new byte[0]);
        exchange.getResponseHeaders().set("Store-Era", Long.toString(era));
      }
      exchange.sendResponseHeaders(
          reply.status(), reply.body().length == 0 ? -1 : reply.body().length);
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

  private synchronized Reply newest(Map<String, String> query, byte[] body) throws IOException {
    List<KeyedRecord> records = topics.getOrDefault(query.get("topic"), List.of());
    Map<String, Map<String, Object>> items = new LinkedHashMap<>();
    for (int i = 0; i < records.size(); i++) {
      KeyedRecord entry = records.get(i);
      items.remove(entry.key());
      if (entry.value().isPresent()) {
        String value = Base64.getEncoder().encodeToString(entry.value().get());
        items.put(entry.key(), Map.of("key", entry.key(), "value", value, "offset", i));
      }
    }
    List<String> keys = new ArrayList<>(items.keySet());
    keys.sort(null);
    keys.removeIf(k -> k.compareTo(query.getOrDefault("after", "")) <= 0);
    List<Object> page = new ArrayList<>();
    keys.stream().limit(PAGE_ITEMS).forEach(k -> page.add(items.get(k)));
    boolean more = keys.size() > PAGE_ITEMS;
    Map<String, Object> reply = Map.of("items", page, "more", more, "end", records.size());
    byte[] encoded = MAPPER.writeValueAsBytes(reply);
    Runnable action = afterPage;
    afterPage = () -> {};
    action.run();
    return new Reply(STATUS_OK, encoded);
  }

  private synchronized Reply read(Map<String, String> query, byte[] body)
      throws IOException, InterruptedException {
    long from = Long.parseLong(query.get("from"));
    if (from < first || from > end(query)) {
      return new Reply(STATUS_GONE, MAPPER.writeValueAsBytes(Map.of("first", first)));
    }
    long until = System.nanoTime() + Long.parseLong(query.get("wait-ms")) * 1_000_000;
    long askedIn = era;
    while (end(query) <= from
        && era == askedIn
        && status == STATUS_OK
        && System.nanoTime() < until) {
      wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
    }
    if (from > end(query)) {
      return new Reply(STATUS_GONE, MAPPER.writeValueAsBytes(Map.of("first", first)));
    }
    List<KeyedRecord> records = topics.getOrDefault(query.get("topic"), List.of());
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    out.writeLong(records.size());
    out.writeLong(first);
    for (int i = (int) from; i < records.size(); i++) {
      ByteBuffer encoded = RecordCodec.encode(records.get(i)).nioBuffer();
      out.write(encoded.array(), encoded.arrayOffset(), encoded.remaining());
    }
    return new Reply(STATUS_OK, bytes.toByteArray());
  }

  private long end(Map<String, String> query) {
    return topics.getOrDefault(query.get("topic"), List.of()).size();
  }

  private synchronized Reply append(Map<String, String> query, byte[] body) throws IOException {
    for (Optional<KeyedRecord> entry : RecordCodec.decode(ByteBuffer.wrap(body))) {
      put(query.get("topic"), entry.get().key(), entry.get().value());
    }
    return new Reply(STATUS_OK, MAPPER.writeValueAsBytes(Map.of("offset", 0, "end", 1)));
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
