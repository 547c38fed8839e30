package org.tanagerbank.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tanagerbank.backing.LogRecord;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.http.HttpErrors;
import org.tanagerbank.http.HttpExchange;
import org.tanagerbank.http.HttpMessage;
import org.tanagerbank.http.HttpReply;
import org.tanagerbank.http.HttpService;
import org.tanagerbank.http.Json;
import org.tanagerbank.http.QueryString;

/**
 * Stand-in for the platform's log.
 *
 * <p>A read from beyond the end is answered at once with {@code next} at the end, so that a reader
 * can find the end and the first retained offset. {@code POST /admin} takes {@code outage}, {@code
 * slowMillis} and {@code loseAnswers}. Thread-safe.
 */
public final class LogStandin implements Standin {
  private static final int MAX_BODY_BYTES = 4 << 20;
  private static final long MAX_WAIT_MILLIS = 60_000;
  private static final int MAX_RECORDS = 10_000;
  private static final int MAX_PAGE_BYTES = 4 << 20;
  private static final Pattern RECORDS = Pattern.compile("/streams/([^/]+)/records");

  private final LogSettings settings;
  private final HttpService http;
  private final StandinTimer timer = new StandinTimer("log-standin");
  private final Map<String, LogStream> streams = new HashMap<>();
  private final List<Waiter> waiters = new ArrayList<>();
  private final RateLimit appendRate;
  private boolean outage;
  private long slowMillis;
  private int loseAnswers;

  private record Waiter(String stream, long from, int max, HttpExchange exchange) {}

  private LogStandin(InetSocketAddress bind, LogSettings settings) {
    this.settings = settings;
    this.slowMillis = settings.slowMillis();
    this.appendRate = new RateLimit(settings.appendsPerSecond(), System.currentTimeMillis());
    this.http = HttpService.create(bind, MAX_BODY_BYTES, this::handle);
  }

  /** Returns a log that listens on an address after {@link #start}. */
  public static LogStandin create(InetSocketAddress bind, LogSettings settings) {
    return new LogStandin(bind, settings);
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

  /** Begins or ends an outage, in which every call gets 503. */
  public void setOutage(boolean down) {
    List<Waiter> refused = List.of();
    synchronized (this) {
      outage = down;
      if (down) {
        refused = List.copyOf(waiters);
        waiters.clear();
      }
    }
    refused.forEach(w -> respond(w.exchange(), HttpErrors.reply(unavailable())));
  }

  /** Sets the delay of every answer. */
  public synchronized void setSlowMillis(long millis) {
    slowMillis = millis;
  }

  /** Drops the connection instead of answering the next appends, which still take effect. */
  public synchronized void loseNextAnswers(int count) {
    loseAnswers = count;
  }

  private void handle(HttpMessage request, HttpExchange exchange) {
    if (request.pathOnly().equals("/admin") && request.method().equals("POST")) {
      exchange.respond(admin(Json.parseObject(request.body())));
      return;
    }
    Matcher path = RECORDS.matcher(request.pathOnly());
    if (!path.matches()) {
      throw TanagerException.notRun(ErrorCode.NOT_FOUND, "no such path: " + request.pathOnly());
    }
    String stream = URLDecoder.decode(path.group(1), StandardCharsets.UTF_8);
    synchronized (this) {
      if (outage) {
        throw unavailable();
      }
    }
    switch (request.method()) {
      case "POST" -> append(stream, request.body(), exchange);
      case "GET" -> read(stream, QueryString.of(request), exchange);
      default -> throw TanagerException.notRun(ErrorCode.METHOD_NOT_ALLOWED, request.method());
    }
  }

  private HttpReply admin(ObjectNode body) {
    if (body.has("slowMillis")) {
      setSlowMillis(body.get("slowMillis").asLong());
    }
    if (body.has("loseAnswers")) {
      loseNextAnswers(body.get("loseAnswers").asInt());
    }
    if (body.has("outage")) {
      setOutage(body.get("outage").asBoolean());
    }
    synchronized (this) {
      return HttpErrors.json(
          200,
          Json.object()
              .put("outage", outage)
              .put("slowMillis", slowMillis)
              .put("loseAnswers", loseAnswers));
    }
  }

  private void append(String stream, byte[] data, HttpExchange exchange) {
    long wait;
    long offset = 0;
    boolean lost = false;
    synchronized (this) {
      long now = System.currentTimeMillis();
      wait = appendRate.take(now);
      if (wait == 0) {
        offset = stream(stream).append(data, now);
        lost = loseAnswers > 0;
        loseAnswers -= lost ? 1 : 0;
      }
    }
    if (wait > 0) {
      respond(exchange, Standin.error(429, "RATE_LIMIT", "more appends than the log takes", wait));
      return;
    }
    if (lost) {
      exchange.abort();
    } else {
      respond(exchange, HttpErrors.json(201, Json.object().put("offset", offset)));
    }
    answerWaiters(stream);
  }

  private void read(String stream, QueryString query, HttpExchange exchange) {
    long from = query.number("from", 1);
    int max = (int) Math.max(1, Math.min(MAX_RECORDS, query.number("max", MAX_RECORDS)));
    long waitMillis = Math.min(MAX_WAIT_MILLIS, query.number("waitMillis", 0));
    if (from < 1) {
      throw TanagerException.notRun(ErrorCode.BAD_REQUEST, "offsets begin at 1: " + from);
    }
    Waiter waiter = new Waiter(stream, from, max, exchange);
    HttpReply page = pageOrWait(waiter, waitMillis > 0);
    if (page != null) {
      respond(exchange, page);
      return;
    }
    exchange.onAbort(() -> remove(waiter));
    timer.after(waitMillis, () -> endWait(waiter));
  }

  private synchronized HttpReply pageOrWait(Waiter waiter, boolean mayWait) {
    if (mayWait && stream(waiter.stream()).next() == waiter.from()) {
      waiters.add(waiter);
      return null;
    }
    return page(waiter);
  }

  private synchronized boolean remove(Waiter waiter) {
    return waiters.remove(waiter);
  }

  private void endWait(Waiter waiter) {
    if (remove(waiter)) {
      HttpReply page;
      synchronized (this) {
        page = page(waiter);
      }
      respond(waiter.exchange(), page);
    }
  }

  private void answerWaiters(String stream) {
    List<Runnable> answers = new ArrayList<>();
    synchronized (this) {
      for (Iterator<Waiter> i = waiters.iterator(); i.hasNext(); ) {
        Waiter waiter = i.next();
        if (waiter.stream().equals(stream)) {
          i.remove();
          HttpReply page = page(waiter);
          answers.add(() -> respond(waiter.exchange(), page));
        }
      }
    }
    answers.forEach(Runnable::run);
  }

  private HttpReply page(Waiter waiter) {
    LogStream stream = stream(waiter.stream());
    stream.expire(System.currentTimeMillis());
    if (waiter.from() < stream.first()) {
      HttpReply gone =
          Standin.error(410, "RECORDS_EXPIRED", "the log begins at " + stream.first(), 0);
      ObjectNode body = Json.parseObject(gone.body());
      return HttpErrors.json(410, body.put("first", stream.first()));
    }
    ObjectNode body = Json.object();
    body.put("first", stream.first());
    ArrayNode rows = body.putArray("records");
    long next = Math.min(waiter.from(), stream.next());
    int bytes = 0;
    for (LogRecord record : stream.read(waiter.from(), waiter.max())) {
      bytes += record.data().length;
      if (bytes > MAX_PAGE_BYTES && !rows.isEmpty()) {
        break;
      }
      rows.addObject()
          .put("offset", record.offset())
          .put("timeMillis", record.timeMillis())
          .put("data", record.data());
      next = record.offset() + 1;
    }
    return HttpErrors.json(200, body.put("next", next));
  }

  private void respond(HttpExchange exchange, HttpReply reply) {
    long delay;
    synchronized (this) {
      delay = slowMillis;
    }
    timer.after(delay, () -> exchange.respond(reply));
  }

  private LogStream stream(String name) {
    return streams.computeIfAbsent(
        name, n -> new LogStream(settings.retentionMillis(), settings.retentionRecords()));
  }

  private static TanagerException unavailable() {
    return TanagerException.notRun(ErrorCode.LOG_UNAVAILABLE, "the log has an outage", 1_000);
  }
}
