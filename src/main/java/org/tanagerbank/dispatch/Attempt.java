package org.tanagerbank.dispatch;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Optional;
import org.tanagerbank.direct.Dialect;
import org.tanagerbank.direct.ExchangeFailure;
import org.tanagerbank.direct.ExchangeListener;
import org.tanagerbank.direct.HttpConnection;
import org.tanagerbank.engine.Prompt;

/**
 * One attempt to have a request answered by one upstream.
 *
 * <p>Checks that a response is the upstream's answer to this request before anything of it reaches
 * the caller. Answers that are not streams are held until they are whole. Confined to the event
 * loop.
 */
final class Attempt implements ExchangeListener {
  /** Larger answers are passed on as they arrive, which rules out another attempt. */
  private static final int MAX_HELD_BYTES = 256 << 10;

  /** Longer than an upstream that works takes to begin an answer. */
  private static final long SILENT_MILLIS = 1_000;

  private static final int STATUS_OK_FIRST = 200;
  private static final int STATUS_OK_LAST = 299;

  private final RequestRun run;
  private final Dispatcher dispatcher;
  private final Choice choice;
  private final UpstreamHandle upstream;
  private final ByteBufAllocator allocator = UnpooledByteBufAllocator.DEFAULT;
  private HttpConnection connection;
  private boolean sent;
  private boolean over;
  private long sentMillis;
  private int status;
  private HttpHeaders headers;
  private boolean passing;
  private boolean firstEventSeen;
  private CompositeByteBuf held;
  private EventSplitter events;

  Attempt(RequestRun run, Dispatcher dispatcher, Choice choice) {
    this.run = run;
    this.dispatcher = dispatcher;
    this.choice = choice;
    this.upstream = choice.upstream();
  }

  void start() {
    upstream.began();
    upstream.health().sent(dispatcher.nowMillis());
    if (upstream.engine().isPresent() && run.prompt().isPresent()) {
      Prompt prompt = run.prompt().get();
      upstream
          .engine()
          .get()
          .sent(run.requestId(), prompt, choice.fetchedTokens(), dispatcher.nowMillis());
      dispatcher.placed(choice, prompt);
    }
    upstream.connections().acquire(this::connected, this::notConnected);
  }

  private void connected(HttpConnection opened) {
    if (over) {
      opened.close();
      return;
    }
    connection = opened;
    sent = true;
    sentMillis = dispatcher.nowMillis();
    connection.send(run.toUpstream(choice), this);
  }

  private void notConnected() {
    if (!over) {
      upstream.health().notConnected(dispatcher.nowMillis());
      close();
      run.attemptEnded(upstream, Outcome.notConnected(), Optional.empty());
    }
  }

  boolean wasSent() {
    return sent;
  }

  void setReading(boolean reading) {
    if (connection != null && !over) {
      connection.setReading(reading);
    }
  }

  /** Ends the attempt; the upstream stops work when its connection closes. */
  void cancel() {
    if (over) {
      return;
    }
    noteSilence();
    close();
    if (connection != null) {
      connection.cancel();
    }
  }

  /** An upstream that said nothing for long may hang, or its open connections lead nowhere. */
  private void noteSilence() {
    boolean silent = sent && headers == null;
    if (silent && dispatcher.nowMillis() - sentMillis >= SILENT_MILLIS) {
      upstream.health().failed();
      upstream.connections().discardIdle();
    }
  }

  @Override
  public void head(int responseStatus, HttpHeaders responseHeaders) {
    status = responseStatus;
    headers = responseHeaders;
    dispatcher.dialect().load(headers).ifPresent(l -> upstream.reported(l, dispatcher.nowMillis()));
    if (!isAnswer()) {
      fail(Outcome.lost("response to another request"));
      return;
    }
    if (isSuccess() && !dispatcher.dialect().isGenuine(headers)) {
      fail(Outcome.lost("response without the signature of an upstream"));
      return;
    }
    passing = isSuccess() && run.isStream();
    if (passing) {
      events = new EventSplitter(allocator);
    } else {
      held = allocator.compositeBuffer(Integer.MAX_VALUE);
    }
  }

  private boolean isAnswer() {
    Dialect dialect = dispatcher.dialect();
    return dialect.answers(headers, run.requestId()) || dialect.saysNotRun(status, headers);
  }

  private boolean isSuccess() {
    return status >= STATUS_OK_FIRST && status <= STATUS_OK_LAST;
  }

  @Override
  public void data(ByteBuf piece) {
    if (over) {
      return;
    }
    if (passing) {
      pass(events == null ? piece.retain() : events.take(piece));
      return;
    }
    held.addComponent(true, piece.retain());
    if (held.readableBytes() > MAX_HELD_BYTES && isSuccess()) {
      passing = true;
      ByteBuf first = held;
      held = null;
      pass(first);
    }
  }

  private void pass(ByteBuf piece) {
    if (!piece.isReadable()) {
      piece.release();
      return;
    }
    noteFirstEvent();
    run.begin(status, headers);
    run.write(piece, events == null ? Optional.empty() : events.lastEventId());
  }

  private void noteFirstEvent() {
    if (!firstEventSeen) {
      firstEventSeen = true;
      upstream
          .engine()
          .map(e -> e.firstToken(run.requestId(), dispatcher.nowMillis()))
          .ifPresent(dispatcher.observer()::firstToken);
    }
  }

  @Override
  public void end() {
    if (over) {
      return;
    }
    if (passing) {
      endPassing();
    } else {
      endHeld();
    }
  }

  private void endPassing() {
    upstream.health().succeeded();
    if (events != null) {
      pass(events.rest());
    }
    run.begin(status, headers);
    close();
    run.end(status);
  }

  private void endHeld() {
    ByteBuf body = held;
    held = null;
    close();
    if (dispatcher.dialect().saysNotRun(status, headers)) {
      body.release();
      run.attemptEnded(upstream, Outcome.refused(status, false), Optional.empty());
      return;
    }
    if (isSuccess()) {
      upstream.health().succeeded();
      run.answer(status, headers, body);
      return;
    }
    endFailed(body);
  }

  /** A failure that the upstream reports itself. */
  private void endFailed(ByteBuf body) {
    boolean isServerFault = HttpStatusClass.valueOf(status) == HttpStatusClass.SERVER_ERROR;
    if (isServerFault) {
      upstream.health().failed();
    }
    if (StatusRules.promisesNotRun(status)) {
      // The upstream did not say that it has not run the request, so the caller must not hear so.
      body.release();
      run.attemptEnded(upstream, Outcome.lost("status " + status), Optional.empty());
    } else if (isServerFault && !run.hasBegun()) {
      HeldAnswer answer = new HeldAnswer(status, headers, body);
      run.attemptEnded(upstream, Outcome.failed(status), Optional.of(answer));
    } else if (run.hasBegun()) {
      body.release();
      run.attemptEnded(upstream, Outcome.failed(status), Optional.empty());
    } else {
      run.answer(status, headers, body);
    }
  }

  @Override
  public void failed(ExchangeFailure failure) {
    fail(Outcome.lost(failure.name()));
  }

  private void fail(Outcome outcome) {
    if (over) {
      return;
    }
    upstream.health().failed();
    close();
    connection.cancel();
    run.attemptEnded(upstream, outcome, Optional.empty());
  }

  /** Ends the accounting of the attempt and frees what it holds. */
  private void close() {
    over = true;
    upstream.ended();
    upstream.engine().ifPresent(e -> e.ended(run.requestId()));
    if (held != null) {
      held.release();
      held = null;
    }
    if (events != null) {
      events.release();
    }
  }
}
