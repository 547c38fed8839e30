package org.tanagerbank.dispatch;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalLong;
import org.tanagerbank.request.Fingerprint;
import org.tanagerbank.upstream.ExchangeFailure;
import org.tanagerbank.upstream.ExchangeListener;
import org.tanagerbank.upstream.HttpConnection;
import org.tanagerbank.upstream.ResponseEnd;
import org.tanagerbank.upstream.ResponseFacts;
import org.tanagerbank.upstream.UpstreamNotice;

/**
 * One attempt to get a response to a request from one upstream.
 *
 * <p>An attempt checks that a response comes from the upstream and answers this request before any
 * part of it is forwarded to the caller. Streams are forwarded event by event. Other responses are
 * buffered until they are complete, so that a failed attempt can be retried. Not thread-safe;
 * confined to the event loop.
 */
final class Attempt implements ExchangeListener {
  /**
   * The time without a response head, in milliseconds, after which a cancelled attempt counts as a
   * failure of the upstream. A working upstream begins its response sooner.
   */
  private static final long MIN_SILENCE_MILLIS = 1_000;

  /**
   * The time, in milliseconds, for which a connection stays open after the time limit of its
   * request. An upstream that refuses the request then may ask for a pause.
   */
  private static final long LAST_NOTICE_MILLIS = 200;

  private static final String OTHER_RESPONSE = "the response does not continue the stream";

  private final RequestExecution execution;
  private final Dispatcher dispatcher;
  private final UpstreamChoice choice;
  private final UpstreamHandle upstream;
  private final Optional<Fingerprint> onTrial;
  private final ByteBufAllocator allocator = UnpooledByteBufAllocator.DEFAULT;
  private final EngineRun engineRun;
  private HttpConnection connection;
  private TrackedRun run;
  private boolean isEnded;

  /** The phase of the upstream in which the request was started. */
  private int phase;

  private long sentMillis;

  /** The head of the response, or null before one is received. */
  private ResponseHead head;

  private boolean hasReceivedHead;
  private boolean isForwarding;
  private BufferedBody buffered;
  private EventSplitter events;

  /** Where the first events of the response must go on. */
  private ResumePosition position;

  Attempt(
      RequestExecution execution,
      Dispatcher dispatcher,
      UpstreamChoice choice,
      Optional<Fingerprint> onTrial) {
    this.onTrial = onTrial;
    this.execution = execution;
    this.dispatcher = dispatcher;
    this.choice = choice;
    this.upstream = choice.upstream();
    this.engineRun = new EngineRun(dispatcher, upstream, execution.requestId());
  }

  void start() {
    phase = upstream.requestStarted(dispatcher.nowMillis());
    upstream.health().requestSent(dispatcher.nowMillis());
    engineRun.start(choice, execution.prompt());
    upstream.connections().acquireFor(execution.requestId(), this::connected, this::notConnected);
  }

  private void connected(HttpConnection opened) {
    if (isEnded) {
      opened.close();
      return;
    }
    boolean isWanted = upstream.sendsStarted(phase, dispatcher.nowMillis());
    if (!isWanted || !execution.maySend()) {
      opened.close();
      failUnsent(isWanted ? AttemptFailure.notConnected() : AttemptFailure.notWanted());
      return;
    }
    connection = opened;
    sentMillis = dispatcher.nowMillis();
    run = dispatcher.crashGuard().runStarted(execution.suspects(), execution, upstream, onTrial);
    connection.send(execution.requestId(), execution.upstreamRequest(choice), this);
  }

  private void notConnected() {
    if (!isEnded) {
      upstream.connectFailed(dispatcher.nowMillis());
      failUnsent(AttemptFailure.notConnected());
    }
  }

  private void failUnsent(AttemptFailure failure) {
    upstream.requestNotSent(phase);
    close();
    execution.handleFailure(upstream, failure, AttemptEvidence.notSent(), Optional.empty());
  }

  boolean wasSent() {
    return run != null;
  }

  void setReading(boolean reading) {
    if (connection != null && !isEnded) {
      connection.setReading(reading);
    }
  }

  /** Cancels the attempt and closes its connection, which makes the upstream stop its work. */
  void cancel() {
    if (!isEnded) {
      end();
      if (connection != null) {
        connection.cancel();
      }
    }
  }

  /**
   * Cancels the attempt at the time limit of its request. Unless a response has begun, its
   * connection is read for a moment longer, for what the upstream says of itself.
   */
  void cancelAtTimeLimit() {
    if (isEnded || !wasSent() || hasReceivedHead) {
      cancel();
      return;
    }
    end();
    dispatcher.runLater(connection::cancel, LAST_NOTICE_MILLIS);
  }

  private void end() {
    if (wasSent()) {
      recordCancellation();
    } else {
      upstream.requestNotSent(phase);
    }
    close();
  }

  /**
   * Counts a failure and closes the idle connections if the upstream has sent nothing for too long:
   * it may hang or have crashed, or the network may no longer deliver packets on its open
   * connections.
   */
  private void recordCancellation() {
    if (!hasReceivedHead && dispatcher.nowMillis() - sentMillis >= MIN_SILENCE_MILLIS) {
      upstream.health().requestFailed();
      upstream.connections().closeIdle();
      dispatcher.crashGuard().runLost(run, RunLoss.SILENT);
    } else {
      dispatcher.crashGuard().runLost(run, RunLoss.GIVEN_UP);
    }
  }

  @Override
  public HeadAction onHead(int responseStatus, HttpHeaders responseHeaders) {
    hasReceivedHead = true;
    ResponseFacts facts =
        dispatcher.headerCodec().responseFacts(responseHeaders, execution.requestId());
    ResponseHead received = ResponseHead.of(responseStatus, responseHeaders, facts);
    boolean isOtherRequest = received.proof() == ResponseProof.OTHER_REQUEST;
    recordNotice(received, isOtherRequest);
    if (isEnded) {
      connection.cancel();
      return HeadAction.RECEIVE;
    }
    if (isOtherRequest && !execution.isRepeatable()) {
      // Only this upstream may answer the request, so its response is awaited.
      execution.responseSkipped(upstream, evidence(responseStatus, Optional.of(facts)));
      return HeadAction.SKIP;
    }
    head = received;
    if (head.isUnusable()) {
      loseResponse(head.proof().description(), RunLoss.GIVEN_UP);
    } else if (head.isSuccess() && !execution.isContinuedBy(head)) {
      loseResponse(OTHER_RESPONSE, RunLoss.GIVEN_UP);
    } else {
      beginReceiving();
    }
    return HeadAction.RECEIVE;
  }

  /**
   * Records what a response says of its process. It comes from the process at the other end of the
   * connection also if it belongs to another request; only its load is as old as that request.
   */
  private void recordNotice(ResponseHead received, boolean isOtherRequest) {
    if (received.isMisdirected()) {
      // The process is not the one that the upstream's report describes.
      return;
    }
    UpstreamNotice notice = dispatcher.headerCodec().notice(received.status(), received.headers());
    upstream.recordNotice(notice, connection.openedMillis(), sentMillis, dispatcher.nowMillis());
    if (!isOtherRequest) {
      notice.load().ifPresent(l -> upstream.updateLoad(l, dispatcher.nowMillis()));
    }
  }

  private void beginReceiving() {
    isForwarding = head.isSuccess() && execution.isStream();
    if (isForwarding) {
      events = new EventSplitter(allocator);
      position = execution.resumePosition();
    } else {
      buffered = new BufferedBody(allocator, dispatcher.heldBytes());
    }
  }

  @Override
  public void onData(ByteBuf piece) {
    if (isEnded) {
      return;
    }
    if (events != null) {
      addToEvents(piece);
    } else if (isForwarding) {
      forward(piece.retain());
    } else {
      addToBuffer(piece);
    }
  }

  private void addToEvents(ByteBuf piece) {
    ByteBuf complete;
    try {
      complete = events.add(piece);
    } catch (EventTooLongException e) {
      loseResponse(e.getMessage(), RunLoss.GIVEN_UP);
      return;
    }
    if (complete.isReadable()) {
      if (!position.isContinuedBy(complete)) {
        complete.release();
        loseResponse(OTHER_RESPONSE, RunLoss.GIVEN_UP);
        return;
      }
      position = ResumePosition.ANY;
    }
    forward(complete);
  }

  /**
   * Adds a piece to the body. A success that cannot be buffered any longer is forwarded as it
   * arrives, and from then on the request cannot be retried. An error is given up then.
   */
  private void addToBuffer(ByteBuf piece) {
    if (buffered.add(piece)) {
      return;
    }
    if (head.isSuccess()) {
      isForwarding = true;
      BufferedBody first = buffered;
      buffered = null;
      forward(first.take());
    } else if (head.proof() == ResponseProof.REFUSAL) {
      finishBuffered();
      connection.cancel();
    } else {
      loseResponse("the body of an error response is too large to be buffered", RunLoss.GIVEN_UP);
    }
  }

  private void forward(ByteBuf piece) {
    if (!piece.isReadable()) {
      piece.release();
      return;
    }
    engineRun.recordFirstToken();
    execution.beginResponse(upstream, head.status(), head.headers());
    execution.writeBody(piece, events == null ? Optional.empty() : events.lastEventId());
  }

  @Override
  public void onEnd(ResponseEnd end) {
    if (isEnded) {
      return;
    }
    if (events != null && events.unfinishedBytes() > 0) {
      loseResponse("the stream ended inside an event", RunLoss.CLOSED);
    } else if (end == ResponseEnd.FRAMED || !head.hasForwardedBody()) {
      finishResponse();
    } else if (end == ResponseEnd.CONNECTION_LOST) {
      loseResponse("the connection ended before the request was written", RunLoss.CLOSED);
    } else {
      dispatcher.survivalCheck().start(upstream.connections(), connection, this::endChecked);
    }
  }

  /** Ends a response without a length or chunks, once it is known what closed its connection. */
  private void endChecked(SurvivalCheck.Result upstreamState) {
    if (isEnded) {
      return;
    }
    execution.responseEndedWithConnection(upstream, upstreamState, evidence());
    if (upstreamState == SurvivalCheck.Result.SURVIVED) {
      finishResponse();
    } else {
      loseResponse("the end of the response is not known", RunLoss.CLOSED);
    }
  }

  private void finishResponse() {
    if (isForwarding) {
      finishForwarded();
    } else {
      finishBuffered();
    }
  }

  private void finishForwarded() {
    upstream.health().requestSucceeded();
    execution.beginResponse(upstream, head.status(), head.headers());
    dispatcher.crashGuard().runCompleted(run);
    close();
    execution.endResponse(head.status());
  }

  private void finishBuffered() {
    ByteBuf body = buffered.take();
    buffered = null;
    CompleteResponse complete =
        new CompleteResponse(dispatcher, execution, upstream, head, evidence());
    complete.record(run);
    close();
    complete.deliver(body);
  }

  @Override
  public void onFailure(ExchangeFailure failure) {
    if (isEnded) {
      return;
    }
    boolean isOwnClose =
        failure == ExchangeFailure.MALFORMED || failure == ExchangeFailure.NOT_SKIPPABLE;
    loseResponse(failure.name(), isOwnClose ? RunLoss.GIVEN_UP : RunLoss.CLOSED);
  }

  private void loseResponse(String reason, RunLoss loss) {
    dispatcher.crashGuard().runLost(run, loss);
    upstream.health().requestFailed();
    close();
    connection.cancel();
    execution.handleFailure(
        upstream, AttemptFailure.responseLost(reason), evidence(), Optional.empty());
  }

  private AttemptEvidence evidence() {
    return head == null
        ? evidence(0, Optional.empty())
        : evidence(head.status(), Optional.of(head.facts()));
  }

  private AttemptEvidence evidence(int responseStatus, Optional<ResponseFacts> facts) {
    return new AttemptEvidence(
        responseStatus, facts, OptionalLong.of(dispatcher.nowMillis() - sentMillis));
  }

  /** Removes the attempt from the request counts and releases its claim and its buffers. */
  private void close() {
    isEnded = true;
    if (wasSent()) {
      dispatcher.crashGuard().runEnded(run);
    }
    upstream.requestEnded();
    engineRun.end();
    if (buffered != null) {
      buffered.release();
      buffered = null;
    }
    if (events != null) {
      events.release();
    }
  }
}
