package org.tanagerbank.platform.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Iterables;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.tanagerbank.http.AsyncHttpServer;
import org.tanagerbank.http.HttpErrors;
import org.tanagerbank.http.HttpExchange;
import org.tanagerbank.http.HttpRequestMessage;
import org.tanagerbank.http.HttpResponseMessage;
import org.tanagerbank.http.Json;
import org.tanagerbank.http.QueryString;
import org.tanagerbank.platform.RecordCodec;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.standin.Standin;
import org.tanagerbank.standin.StandinTimer;
import org.tanagerbank.store.KeyedRecord;

/**
 * Stand-in for the platform's store: keyed topics of one partition each, in memory.
 *
 * <p>{@code POST /control/faults} replaces the faults (see {@link StoreFaults}), {@code POST
 * /control/restore} with {@code lostMillis} goes back to what was written until so long ago and
 * begins a new era, {@code POST /control/trim} with {@code topic} and {@code before} deletes old
 * records. Thread-safe.
 */
public final class StoreStandin implements Standin {
  private static final int MAX_BODY_BYTES = 4 << 20;
  private static final int STATUS_OK = 200;
  private static final int STATUS_GONE = 410;
  private static final long MAX_WAIT_MILLIS = 30_000;
  private static final int PAGE_HEADER_BYTES = 2 * Long.BYTES;
  private static final int BYTES_PER_KB = 1 << 10;

  /** The most bytes of a page of records if the reader names no limit, in KB. */
  private static final int DEFAULT_MAX_KB = 1_024;

  private final AsyncHttpServer http;
  private final int pageItems;
  private final StandinTimer timer = new StandinTimer("store-standin");
  private final Map<String, StoreTopic> topics = new HashMap<>();
  private final List<PendingRead> pendingReads = new ArrayList<>();
  private StoreFaults faults = StoreFaults.NONE;
  private long era = 1;
  private Runnable pageAction = () -> {};

  /** A read that waits for a record. Compared by identity. */
  private static final class PendingRead {
    private final String topic;
    private final long from;
    private final long maxBytes;
    private final HttpExchange exchange;

    private PendingRead(String topic, QueryString query, HttpExchange exchange) {
      this.topic = topic;
      this.from = query.number("from", 0);
      this.maxBytes = query.number("max-kb", DEFAULT_MAX_KB) * BYTES_PER_KB;
      this.exchange = exchange;
    }
  }

  private StoreStandin(InetSocketAddress bind, int pageItems) {
    this.http = AsyncHttpServer.create(bind, MAX_BODY_BYTES, this::handle);
    this.pageItems = pageItems;
  }

  /** Creates a store that listens on a free port of the loopback address after {@link #start}. */
  public static StoreStandin onLoopback(int pageItems) {
    return create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), pageItems);
  }

  /**
   * Creates a store that listens on an address after {@link #start}.
   *
   * @param pageItems the number of newest records in a page
   */
  public static StoreStandin create(InetSocketAddress bind, int pageItems) {
    return new StoreStandin(bind, pageItems);
  }

  @Override
  public void start() {
    timer.start();
    http.start();
  }

  @Override
  public void stop() {
    http.stop();
    timer.stop();
  }

  @Override
  public InetSocketAddress address() {
    return http.address();
  }

  /** Appends a record, as the operator or an upstream does; an empty value removes the key. */
  public void put(String topic, String key, Optional<byte[]> value) {
    append(topic, ImmutableList.of(new KeyedRecord(key, value)));
  }

  /** Replaces the faults. Reads that wait are refused if all calls are. */
  public void setFaults(StoreFaults next) {
    synchronized (this) {
      faults = next;
    }
    if (next.status() != 0) {
      answerPendingReads(unused -> true);
    }
  }

  /** Deletes the records of a topic before an offset. The newest one of each key can be read. */
  public synchronized void trim(String topic, long before) {
    topic(topic).trim(before);
  }

  /** Returns a time to which {@link #restoreTo} can go back: before all later writes. */
  public long mark() {
    return System.nanoTime();
  }

  /** Goes back to what was written until some time ago, in a new era. */
  public void restore(long lostMillis) {
    restoreTo(System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(lostMillis));
  }

  /** Goes back to what was written before a {@linkplain #mark mark}, in a new era. */
  public void restoreTo(long mark) {
    synchronized (this) {
      topics.values().forEach(t -> t.restore(mark));
      era++;
    }
    answerPendingReads(unused -> true);
  }

  /** Makes the store name another era in its answers. */
  public synchronized void setEra(long value) {
    era = value;
  }

  /** Sets an action that runs once, after the next page of newest records was read. */
  public synchronized void afterNextPage(Runnable action) {
    pageAction = action;
  }

  private StoreTopic topic(String name) {
    return topics.computeIfAbsent(name, unused -> new StoreTopic());
  }

  private void handle(HttpRequestMessage request, HttpExchange exchange) {
    String call = request.method() + " " + request.pathOnly();
    if (call.startsWith("POST /control/")) {
      exchange.respond(control(call, request));
      return;
    }
    synchronized (this) {
      if (faults.status() != 0) {
        answer(exchange, refusal());
        return;
      }
    }
    QueryString query = QueryString.of(request);
    String topic = query.text("topic", "");
    switch (call) {
      case "GET /-/log-newest" -> answer(exchange, newest(topic, query.text("after", "")));
      case "GET /-/log-read" ->
          read(
              new PendingRead(topic, query, exchange),
              Math.min(MAX_WAIT_MILLIS, query.number("wait-ms", 0)));
      case "POST /-/log-append" -> append(topic, request.body(), exchange);
      default -> throw TanagerException.notRun(ErrorCode.NOT_FOUND, "no such call: " + call);
    }
  }

  private HttpResponseMessage control(String call, HttpRequestMessage request) {
    switch (call) {
      case "POST /control/faults" -> setFaults(parseFaults(request.body()));
      case "POST /control/restore" ->
          restore(Json.parseObject(request.body()).path("lostMillis").asLong());
      case "POST /control/trim" -> {
        ObjectNode body = Json.parseObject(request.body());
        trim(body.path("topic").asText(), body.path("before").asLong());
      }
      default -> throw TanagerException.notRun(ErrorCode.NOT_FOUND, "no such call: " + call);
    }
    synchronized (this) {
      return HttpErrors.json(
          STATUS_OK, Json.object().put("era", era).set("faults", Json.tree(faults)));
    }
  }

  private static StoreFaults parseFaults(byte[] json) {
    try {
      return StoreFaults.parse(json);
    } catch (IllegalArgumentException e) {
      throw TanagerException.notRun(ErrorCode.BAD_REQUEST, e.getMessage());
    }
  }

  private HttpResponseMessage newest(String name, String after) {
    Runnable action;
    HttpResponseMessage page;
    synchronized (this) {
      StoreTopic topic = topic(name);
      ImmutableList<KeyedRecord> records = topic.newest(after);
      ObjectNode body = Json.object();
      ArrayNode items = body.putArray("items");
      for (KeyedRecord keyed : Iterables.limit(records, pageItems)) {
        items.addObject().put("key", keyed.key()).put("value", keyed.value().orElseThrow());
      }
      body.put("more", records.size() > pageItems).put("end", topic.end());
      page = HttpErrors.json(STATUS_OK, body);
      action = pageAction;
      pageAction = () -> {};
    }
    action.run();
    return page;
  }

  private void read(PendingRead read, long waitMillis) {
    synchronized (this) {
      if (waitMillis > 0 && topic(read.topic).end() == read.from) {
        pendingReads.add(read);
        read.exchange.onAbort(() -> remove(read));
        timer.runAfter(waitMillis, () -> answerPendingReads(read::equals));
        return;
      }
    }
    answer(read.exchange, page(read));
  }

  private synchronized boolean remove(PendingRead read) {
    return pendingReads.remove(read);
  }

  private void answerPendingReads(Predicate<PendingRead> condition) {
    List<PendingRead> ready;
    synchronized (this) {
      ready = pendingReads.stream().filter(condition).toList();
      pendingReads.removeAll(ready);
    }
    ready.forEach(r -> answer(r.exchange, page(r)));
  }

  private synchronized HttpResponseMessage page(PendingRead read) {
    if (faults.status() != 0) {
      return refusal();
    }
    StoreTopic topic = topic(read.topic);
    Optional<ImmutableList<KeyedRecord>> records = topic.read(read.from);
    if (records.isEmpty()) {
      return HttpErrors.json(STATUS_GONE, Json.object().put("first", topic.first()));
    }
    ByteBuf page = Unpooled.buffer(PAGE_HEADER_BYTES);
    page.writeLong(topic.end());
    page.writeLong(topic.first());
    for (KeyedRecord keyed : records.get()) {
      ByteBuf encoded = RecordCodec.encode(keyed);
      // A page holds at least one record, whatever its size.
      if (page.readableBytes() > PAGE_HEADER_BYTES
          && page.readableBytes() + encoded.readableBytes() > read.maxBytes) {
        break;
      }
      page.writeBytes(encoded);
    }
    return new HttpResponseMessage(STATUS_OK, ImmutableMap.of(), ByteBufUtil.getBytes(page));
  }

  private void append(String topic, byte[] body, HttpExchange exchange) {
    ImmutableList<KeyedRecord> records =
        RecordCodec.decode(ByteBuffer.wrap(body)).stream()
            .flatMap(Optional::stream)
            .collect(ImmutableList.toImmutableList());
    long end = append(topic, records);
    answer(
        exchange,
        HttpErrors.json(
            STATUS_OK, Json.object().put("offset", end - records.size()).put("end", end)));
  }

  private long append(String topic, ImmutableList<KeyedRecord> records) {
    long end;
    synchronized (this) {
      records.forEach(r -> topic(topic).append(r, System.nanoTime()));
      end = topic(topic).end();
    }
    answerPendingReads(r -> r.topic.equals(topic));
    return end;
  }

  private HttpResponseMessage refusal() {
    return new HttpResponseMessage(faults.status(), ImmutableMap.of(), new byte[0]);
  }

  /** Sends an answer, or loses it, as the faults demand. */
  private void answer(HttpExchange exchange, HttpResponseMessage response) {
    long delayMillis;
    boolean isLost;
    ImmutableMap<String, String> headers;
    synchronized (this) {
      delayMillis = faults.delayMillis();
      isLost = faults.lostAnswers() > 0;
      faults = faults.withoutOneAnswer();
      headers =
          ImmutableMap.<String, String>builder()
              .putAll(response.headers())
              .put("store-era", Long.toString(era))
              .buildOrThrow();
    }
    if (isLost) {
      exchange.abort();
      return;
    }
    timer.runAfter(
        delayMillis,
        () ->
            exchange.respond(new HttpResponseMessage(response.status(), headers, response.body())));
  }
}
