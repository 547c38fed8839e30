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
import org.tanagerbank.http.AsyncHttpServer;
import org.tanagerbank.http.HttpErrors;
import org.tanagerbank.http.HttpExchange;
import org.tanagerbank.http.HttpRequestMessage;
import org.tanagerbank.http.HttpResponseMessage;
import org.tanagerbank.http.Json;
import org.tanagerbank.http.QueryString;
import org.tanagerbank.platformclient.LogRecord;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;

/**
 * Stand-in for the platform's log.
 *
 * <p>A read from beyond the end of a stream returns immediately with the end as {@code next}, so
 * that a reader can find the end and the first retained offset. {@code POST /admin} accepts {@code
 * outage}, {@code slowMillis} and {@code loseAnswers}. Thread-safe.
 */
public final class LogStandin implements Standin {
  private static final int MAX_BODY_BYTES = 4 << 20;
  private static final long MAX_WAIT_MILLIS = 60_000;
  private static final int MAX_RECORDS = 10_000;
  private static final int MAX_PAGE_BYTES = 4 << 20;
  private static final Pattern RECORDS_PATH = Pattern.compile("/streams/([^/]+)/records");

  private final LogSettings settings;
  private final AsyncHttpServer http;
  private final StandinTimer timer = new StandinTimer("log-standin");
  private final Map<String, LogStream> streams = new HashMap<>();
  private final List<PendingRead> pendingReads = new ArrayList<>();
  private final RateLimit appendRate;
  private boolean outage;
  private long slowMillis;
  private int loseAnswers;

  private record PendingRead(String stream, long from, int max, HttpExchange exchange) {}

  private LogStandin(InetSocketAddress bind, LogSettings settings) {
    this.settings = settings;
    this.slowMillis = settings.slowMillis();
    this.appendRate = new RateLimit(settings.appendsPerSecond(), System.currentTimeMillis());
    this.http = AsyncHttpServer.create(bind, MAX_BODY_BYTES, this::handle);
  }

  /** Creates a log that listens on an address after {@link #start}. */
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

  /** Starts or ends an outage, during which every call gets status 503. */
  public void setOutage(boolean hasOutage) {
    List<PendingRead> rejectedReads = List.of();
    synchronized (this) {
      outage = hasOutage;
      if (hasOutage) {
        rejectedReads = List.copyOf(pendingReads);
        pendingReads.clear();
      }
    }
    rejectedReads.forEach(w -> respondDelayed(w.exchange(), HttpErrors.response(unavailable())));
  }

  /** Sets the delay of every response. */
  public synchronized void setSlowMillis(long millis) {
    slowMillis = millis;
  }

  /** Sets how many of the next appends take effect but get an aborted connection. */
  public synchronized void loseNextAnswers(int count) {
    loseAnswers = count;
  }

  private void handle(HttpRequestMessage request, HttpExchange exchange) {
    if (request.pathOnly().equals("/admin") && request.method().equals("POST")) {
      exchange.respond(admin(Json.parseObject(request.body())));
      return;
    }
    Matcher path = RECORDS_PATH.matcher(request.pathOnly());
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

  private HttpResponseMessage admin(ObjectNode body) {
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
    boolean isAnswerLost = false;
    synchronized (this) {
      long now = System.currentTimeMillis();
      wait = appendRate.acquire(now);
      if (wait == 0) {
        offset = stream(stream).append(data, now);
        isAnswerLost = loseAnswers > 0;
        loseAnswers -= isAnswerLost ? 1 : 0;
      }
    }
    if (wait > 0) {
      respondDelayed(
          exchange,
          Standin.error(429, "RATE_LIMIT", "the append rate exceeds the limit of the log", wait));
      return;
    }
    if (isAnswerLost) {
      exchange.abort();
    } else {
      respondDelayed(exchange, HttpErrors.json(201, Json.object().put("offset", offset)));
    }
    answerPendingReads(stream);
  }

  private void read(String stream, QueryString query, HttpExchange exchange) {
    long from = query.number("from", 1);
    int max = (int) Math.max(1, Math.min(MAX_RECORDS, query.number("max", MAX_RECORDS)));
    long waitMillis = Math.min(MAX_WAIT_MILLIS, query.number("waitMillis", 0));
    if (from < 1) {
      throw TanagerException.notRun(ErrorCode.BAD_REQUEST, "offsets start at 1: " + from);
    }
    PendingRead pendingRead = new PendingRead(stream, from, max, exchange);
    HttpResponseMessage page = pageOrWait(pendingRead, waitMillis > 0);
    if (page != null) {
      respondDelayed(exchange, page);
      return;
    }
    exchange.onAbort(() -> remove(pendingRead));
    timer.runAfter(waitMillis, () -> onWaitExpired(pendingRead));
  }

  /** Returns a page, or null if the read was queued until the next append or its timeout. */
  private synchronized HttpResponseMessage pageOrWait(
      PendingRead pendingRead, boolean isWaitAllowed) {
    if (isWaitAllowed && stream(pendingRead.stream()).nextOffset() == pendingRead.from()) {
      pendingReads.add(pendingRead);
      return null;
    }
    return page(pendingRead);
  }

  private synchronized boolean remove(PendingRead pendingRead) {
    return pendingReads.remove(pendingRead);
  }

  private void onWaitExpired(PendingRead pendingRead) {
    if (remove(pendingRead)) {
      HttpResponseMessage page;
      synchronized (this) {
        page = page(pendingRead);
      }
      respondDelayed(pendingRead.exchange(), page);
    }
  }

  private void answerPendingReads(String stream) {
    List<Runnable> answers = new ArrayList<>();
    synchronized (this) {
      for (Iterator<PendingRead> i = pendingReads.iterator(); i.hasNext(); ) {
        PendingRead pendingRead = i.next();
        if (pendingRead.stream().equals(stream)) {
          i.remove();
          HttpResponseMessage page = page(pendingRead);
          answers.add(() -> respondDelayed(pendingRead.exchange(), page));
        }
      }
    }
    answers.forEach(Runnable::run);
  }

  private HttpResponseMessage page(PendingRead pendingRead) {
    LogStream stream = stream(pendingRead.stream());
    stream.expire(System.currentTimeMillis());
    if (pendingRead.from() < stream.firstOffset()) {
      HttpResponseMessage expired =
          Standin.error(
              410, "RECORDS_EXPIRED", "the first retained offset is " + stream.firstOffset(), 0);
      ObjectNode body = Json.parseObject(expired.body());
      return HttpErrors.json(410, body.put("first", stream.firstOffset()));
    }
    ObjectNode body = Json.object();
    body.put("first", stream.firstOffset());
    ArrayNode rows = body.putArray("records");
    long next = Math.min(pendingRead.from(), stream.nextOffset());
    int bytes = 0;
    for (LogRecord record : stream.read(pendingRead.from(), pendingRead.max())) {
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

  private void respondDelayed(HttpExchange exchange, HttpResponseMessage response) {
    long delay;
    synchronized (this) {
      delay = slowMillis;
    }
    timer.runAfter(delay, () -> exchange.respond(response));
  }

  private LogStream stream(String name) {
    return streams.computeIfAbsent(
        name, n -> new LogStream(settings.retentionMillis(), settings.retentionRecords()));
  }

  private static TanagerException unavailable() {
    return TanagerException.notRun(ErrorCode.LOG_UNAVAILABLE, "the log has an outage", 1_000);
  }
}
