package org.tanagerbank.standin.direct;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Sends the response to one request, with the faults that were drawn for it. Not thread-safe;
 * confined to the event loop of the engine.
 */
final class RunResponder {
  private static final int OK = 200;
  private static final int INTERNAL_SERVER_ERROR = 500;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;
  private static final Consumer<Boolean> IGNORE_RESULT = isWritten -> {};
  private static final String GARBAGE = "\u0001\u0002 garbled bytes, no response\r\n\r\n";

  private final EngineRun run;
  private final EngineConnection connection;
  private final EngineDriver driver;
  private final RunLog log;
  private final ResponseFormatter formatter;
  private final Supplier<String> received;
  private boolean isHeadSent;

  /**
   * Creates a responder.
   *
   * @param received returns the method and body that were received, for the record
   */
  RunResponder(
      EngineRun run,
      EngineConnection connection,
      EngineDriver driver,
      ResponseFormatter formatter,
      Supplier<String> received) {
    this.run = run;
    this.connection = connection;
    this.driver = driver;
    this.log = driver.log();
    this.formatter = formatter;
    this.received = received;
  }

  /** Records an action and sends what follows from it. */
  void carryOut(EngineAction action) {
    if (action instanceof EngineAction.Began) {
      onBegan();
    } else if (action instanceof EngineAction.Preempted) {
      log.preempted(run);
    } else if (action instanceof EngineAction.Refused refused) {
      onRefused(refused);
    } else if (action instanceof EngineAction.EventGenerated event) {
      onEvent(event.number());
    } else if (action instanceof EngineAction.Completed) {
      onCompleted();
    } else if (action instanceof EngineAction.TimedOut) {
      onTimedOut();
    }
  }

  private void onBegan() {
    log.began(run, received.get());
    driver.crashIfDeadly(run);
    if (run.faults.extrasAtBegin()) {
      sendExtras();
    }
    if (run.faults.outcome() == RunFaults.Outcome.HANGS) {
      log.fault(run, "hang");
    }
  }

  /** Sends the responses of other requests that faults ask for. */
  private void sendExtras() {
    Optional<String> otherId = driver.earlierRequestId(run);
    if (run.faults.foreignRefusal() && otherId.isPresent()) {
      sendExtra("foreignRefusal", refusal(otherId.get(), SERVICE_UNAVAILABLE, true));
    }
    if (run.faults.foreignSuccess() && otherId.isPresent()) {
      String body = ExpectedResponse.plainBody(otherId.get(), run.plainLength);
      sendExtra("foreignSuccess", formatter.signed(otherId.get(), OK, body, false));
    }
    if (run.faults.unnamedRefusal()) {
      sendExtra("unnamedRefusal", refusal("", SERVICE_UNAVAILABLE, true));
    }
  }

  /** Called before each part of the response to a request that ran. */
  private void beforeSend() {
    if (!isHeadSent && !run.faults.extrasAtBegin()) {
      sendExtras();
    }
    isHeadSent = true;
  }

  private void onRefused(EngineAction.Refused refused) {
    if (isHeadSent) {
      // The run was preempted within its response, so that a refusal can no longer be sent.
      log.ended(run, OK, false, refused.refusal().name());
      breakOff();
      return;
    }
    if (!refused.isMarked()) {
      log.fault(run, "unmarkedMisdirect");
    }
    if (run.hasBegun) {
      log.fault(run, "refusedAfterPreemption");
    }
    int status = refused.refusal().status();
    long pauseMillis = status == SERVICE_UNAVAILABLE ? run.faults.pauseMillis() : 0;
    log.refused(run, refused.refusal(), pauseMillis);
    ByteBuf response =
        formatter.refusal(
            run.request.id(), status, refused.isMarked(), pauseMillis, connection.closes());
    if (run.faults.doubledRefusal() || run.faults.doubledResponse()) {
      sendAgain("doubledRefusal", response);
    }
    connection.send(response, IGNORE_RESULT);
    connection.finishExchange();
  }

  private void onEvent(long number) {
    boolean isSent = run.faults.outcome() == RunFaults.Outcome.SENT;
    boolean isCut = run.faults.outcome() == RunFaults.Outcome.CUT;
    if (!isSent && !isCut) {
      return;
    }
    String event = ExpectedResponse.event(run.request.id(), number);
    ByteBuf part =
        run.faults.unframed() ? ResponseFormatter.bytes(event) : ResponseFormatter.chunk(event);
    ByteBuf bytes = isHeadSent ? part : Unpooled.wrappedBuffer(streamHead(), part);
    if (isCut && isCutAt(number)) {
      cut(bytes, part.readableBytes());
    } else {
      beforeSend();
      connection.send(bytes, IGNORE_RESULT);
    }
  }

  private boolean isCutAt(long number) {
    int tokensPerEvent = driver.core().tokensPerEvent();
    long last = ExpectedResponse.eventCount(run.prompt().maxOutputTokens(), tokensPerEvent);
    long first = run.request.lastEventId().orElse(0) + 1;
    return number >= Math.min(last, first + (long) (run.faults.cutShare() * (last - first + 1)));
  }

  private void onCompleted() {
    switch (run.faults.outcome()) {
      case SENT -> succeed();
      case CUT -> cut(run.isGeneration() ? streamHead() : plainSuccess(), /* partBytes= */ 0);
      case GARBLED -> garble();
      case LOST -> {
        log.fault(run, "lostAnswer");
        log.ended(run, OK, false, "lostAnswer");
        breakOff();
      }
      case ERROR_STATUS -> fail("errorStatus", INTERNAL_SERVER_ERROR);
      case UNMARKED_REFUSAL -> fail("unmarkedRefusal", SERVICE_UNAVAILABLE);
      default -> throw new IllegalStateException("a hanging request cannot complete");
    }
  }

  private void onTimedOut() {
    if (run.faults.outcome() == RunFaults.Outcome.HANGS) {
      log.ended(run, GATEWAY_TIMEOUT, false, "hang");
      connection.hang();
    } else if (isHeadSent) {
      log.ended(run, OK, false, "deadline passed");
      breakOff();
    } else {
      finish(GATEWAY_TIMEOUT, "deadline passed", signedFailure(GATEWAY_TIMEOUT));
    }
  }

  private void succeed() {
    if (!run.isGeneration()) {
      finish(OK, null, plainSuccess());
      return;
    }
    ByteBuf end = run.faults.unframed() ? Unpooled.EMPTY_BUFFER : ResponseFormatter.lastChunk();
    finish(OK, null, isHeadSent ? end : Unpooled.wrappedBuffer(streamHead(), end));
  }

  private void fail(String fault, int status) {
    log.fault(run, fault);
    finish(status, fault, signedFailure(status));
  }

  private void garble() {
    beforeSend();
    log.fault(run, "garbledResponse");
    log.ended(run, OK, false, "garbledResponse");
    connection.sendAndBreakOff(ResponseFormatter.bytes(GARBAGE), run.faults.resets());
  }

  /**
   * Sends a part of some bytes and closes the connection. The close of a response that has no
   * length or chunks leaves a part of an event behind, or is a reset, as it could not be told from
   * the end.
   *
   * @param partBytes the number of last bytes that are one event
   */
  private void cut(ByteBuf bytes, int partBytes) {
    beforeSend();
    log.fault(run, "cutResponse");
    log.ended(run, OK, false, "cutResponse");
    driver.remove(run);
    boolean isCutInPart = run.faults.unframed() && partBytes > 0;
    int wholeBytes = isCutInPart ? bytes.readableBytes() - partBytes : 0;
    int cutBytes = (int) (run.faults.cutShare() * (bytes.readableBytes() - wholeBytes));
    int length = Math.max(1, Math.min(bytes.readableBytes(), wholeBytes + Math.max(1, cutBytes)));
    boolean resets = run.faults.resets() || (run.faults.unframed() && !isCutInPart);
    connection.sendAndBreakOff(bytes.slice(bytes.readerIndex(), length), resets);
  }

  private void breakOff() {
    boolean isUnframed = run.faults.unframed() && isHeadSent;
    connection.sendAndBreakOff(Unpooled.EMPTY_BUFFER, run.faults.resets() || isUnframed);
  }

  private void finish(int status, String detail, ByteBuf response) {
    if (run.faults.doubledResponse()) {
      boolean isStream = run.isGeneration() && status == OK;
      sendAgain("doubledResponse", isStream ? wholeStream() : response);
    }
    beforeSend();
    connection.send(response, isWritten -> log.ended(run, status, isWritten, detail));
    if (run.faults.unframed() && status == OK) {
      connection.sendAndBreakOff(Unpooled.EMPTY_BUFFER, /* resets= */ false);
    } else {
      connection.finishExchange();
    }
  }

  private void sendExtra(String fault, ByteBuf response) {
    log.fault(run, fault);
    connection.sendExtra(response);
  }

  private void sendAgain(String fault, ByteBuf response) {
    connection.sendLater(
        response.copy(), run.faults.repeatDelayMicros(), () -> log.fault(run, fault));
  }

  private ByteBuf refusal(String requestId, int status, boolean isMarked) {
    return formatter.refusal(
        requestId, status, isMarked, /* pauseMillis= */ 0, /* closes= */ false);
  }

  private ByteBuf plainSuccess() {
    String id = run.request.id();
    String body = ExpectedResponse.plainBody(id, run.plainLength);
    return run.faults.unframed()
        ? formatter.unframed(id, OK, body)
        : formatter.signed(id, OK, body, connection.closes());
  }

  private ByteBuf signedFailure(int status) {
    return formatter.signed(run.request.id(), status, "failed\n", connection.closes());
  }

  private ByteBuf streamHead() {
    return run.faults.unframed()
        ? formatter.unframedStreamHead(run.request.id())
        : formatter.streamHead(run.request.id(), connection.closes());
  }

  /** Returns the whole stream as it is repeated by a fault. */
  private ByteBuf wholeStream() {
    StringBuilder events = new StringBuilder();
    long last =
        ExpectedResponse.eventCount(run.prompt().maxOutputTokens(), driver.core().tokensPerEvent());
    for (long number = run.request.lastEventId().orElse(0) + 1; number <= last; number++) {
      events.append(ExpectedResponse.event(run.request.id(), number));
    }
    ByteBuf body =
        events.length() == 0 ? Unpooled.EMPTY_BUFFER : ResponseFormatter.chunk(events.toString());
    ByteBuf head = formatter.streamHead(run.request.id(), connection.closes());
    return Unpooled.wrappedBuffer(head, body, ResponseFormatter.lastChunk());
  }
}
