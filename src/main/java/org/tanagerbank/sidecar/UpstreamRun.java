package org.tanagerbank.sidecar;

import com.google.common.collect.ImmutableMap;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tanagerbank.answer.StreamEvents;
import org.tanagerbank.http.HttpCall;
import org.tanagerbank.http.HttpResponseListener;
import org.tanagerbank.ledger.AnswerBuffer;
import org.tanagerbank.proto.LinkProto.End;
import org.tanagerbank.proto.LinkProto.RequestRef;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.Fingerprint;
import org.tanagerbank.request.RequestId;
import org.tanagerbank.request.StatusSemantics;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.request.Verdict;

/**
 * One run of a request at the upstream, and the deliveries of its answer to entries.
 *
 * <p>Invariants: the run ends exactly once; an End frame is sent only after the whole answer; the
 * upstream has credit for at most {@link #WINDOW_BYTES} more than the slowest delivery has sent.
 * While there is no delivery, the upstream gets credit for each byte that it sends. Guarded by its
 * own monitor; thread-safe.
 */
final class UpstreamRun implements HttpResponseListener {
  /** The number of bytes that the upstream may be ahead of the slowest delivery. */
  static final int WINDOW_BYTES = 256 << 10;

  /**
   * The number of bytes of an answer that are kept. This is more than the window, because a call
   * may exceed its credit by the size of an I/O buffer.
   */
  private static final int RETAINED_BYTES = 2 * WINDOW_BYTES;

  /** The number of last bytes of an answer that show whether a stream ends with a whole event. */
  private static final int TAIL_BYTES = 4;

  private static final String EVENT_STREAM = "text/event-stream";

  /**
   * Receives the end of a run. Either {@link #onFinished} or {@link #onFailed} is called, and only
   * once. All methods are called under the run's monitor.
   */
  interface CompletionListener {
    /** Called when the answer is complete; returns the number of requests still in flight. */
    int onFinished(UpstreamRun run);

    /** Called when the run ended without a complete answer. */
    void onFailed(UpstreamRun run, ErrorCode code, Verdict verdict);

    /**
     * Called when the connection broke after the upstream may have started the run. The run has not
     * ended; the listener has to find out whether the upstream crashed and then call {@link
     * UpstreamRun#fail} or {@link UpstreamRun#upstreamSurvived}.
     */
    void onConnectionLost(UpstreamRun run, Exception cause);
  }

  private final RequestId id;
  private final String workspace;
  private final Fingerprint fingerprint;
  private final boolean nonIdempotent;
  private final boolean streamed;
  private final CompletionListener listener;
  private final AnswerBuffer answer = new AnswerBuffer(RETAINED_BYTES);
  private final List<Delivery> deliveries = new ArrayList<>();
  private HttpCall call;
  private long grantedBytes = WINDOW_BYTES;
  private int status;
  private String contentType = "";
  private int inFlightAtEnd;
  private Failure failure;
  private long unattendedSinceMillis;
  private ByteString tail = ByteString.EMPTY;

  /** Whether the answer is complete if the upstream has survived the end of its connection. */
  private boolean isWholeIfSurvived;

  private record Failure(ErrorCode code, Verdict verdict, String message) {}

  UpstreamRun(
      RequestId id,
      String workspace,
      Fingerprint fingerprint,
      boolean nonIdempotent,
      boolean streamed,
      CompletionListener listener) {
    this.id = id;
    this.workspace = workspace;
    this.fingerprint = fingerprint;
    this.nonIdempotent = nonIdempotent;
    this.streamed = streamed;
    this.listener = listener;
  }

  RequestId id() {
    return id;
  }

  String workspace() {
    return workspace;
  }

  Fingerprint fingerprint() {
    return fingerprint;
  }

  /** Returns the length of the answer so far, including bytes that are no longer kept. */
  synchronized long availableBytes() {
    return answer.length();
  }

  /** Returns the number of bytes of the answer that are kept. */
  synchronized long retainedBytes() {
    return answer.retainedBytes();
  }

  /** Sets the call to the upstream. The call may have failed already; then it is cancelled. */
  synchronized void setCall(HttpCall upstreamCall) {
    if (isEnded()) {
      upstreamCall.cancel();
    } else {
      call = upstreamCall;
      grantCredit();
    }
  }

  /**
   * Starts to deliver the answer to a request, and replaces the delivery to its earlier attempt.
   */
  synchronized void attach(Delivery delivery) {
    removeDelivery(delivery.ref());
    if (failure != null) {
      sendFailure(delivery, failure);
      return;
    }
    delivery.session().bind(delivery.ref(), this);
    deliveries.add(delivery);
    sendAvailable(delivery);
    grantCredit();
  }

  /** Adds credit to the delivery to a request; ignored for any other than its latest attempt. */
  synchronized void addCredit(RequestRef ref, int attempt, long bytes) {
    findDelivery(ref)
        .filter(d -> d.attempt() == attempt)
        .ifPresent(
            d -> {
              d.addCredit(bytes);
              sendAvailable(d);
              grantCredit();
            });
  }

  /**
   * Stops the delivery to an attempt of a request. When the last delivery is stopped, an idempotent
   * run is cancelled, because it may run again later.
   */
  synchronized void cancel(RequestRef ref, int attempt) {
    if (findDelivery(ref).filter(d -> d.attempt() == attempt).isEmpty()) {
      return;
    }
    removeDelivery(ref);
    if (deliveries.isEmpty() && !nonIdempotent) {
      fail(ErrorCode.CANCELLED, Verdict.MAY_HAVE_RUN, "the caller cancelled the request");
    }
    grantCredit();
  }

  /**
   * Cancels an idempotent run that has had no delivery for some time. Must be called periodically;
   * the time counts from the first call that found no delivery.
   *
   * @param timeoutMillis the time without a delivery, in milliseconds, after which the run is
   *     cancelled
   * @param nowMillis the current time
   */
  synchronized void cancelUnattended(long timeoutMillis, long nowMillis) {
    if (!deliveries.isEmpty() || nonIdempotent) {
      unattendedSinceMillis = 0;
    } else if (unattendedSinceMillis == 0) {
      unattendedSinceMillis = nowMillis;
    } else if (nowMillis - unattendedSinceMillis > timeoutMillis) {
      fail(
          ErrorCode.CANCELLED,
          Verdict.MAY_HAVE_RUN,
          "no entry has requested the answer for more than " + timeoutMillis + " ms");
    }
  }

  /** Stops the deliveries over a closed link. The run continues. */
  synchronized void detach(LinkSession session) {
    deliveries.removeIf(d -> d.session() == session);
    grantCredit();
  }

  /** Sends to each delivery what its credit and its link permit. */
  synchronized void sendAvailable() {
    List.copyOf(deliveries).forEach(this::sendAvailable);
    grantCredit();
  }

  /** Ends the run without a complete answer, and cancels its call; no effect after its end. */
  synchronized void fail(ErrorCode code, Verdict verdict, String message) {
    if (isEnded()) {
      return;
    }
    failure = new Failure(code, verdict, message);
    if (call != null) {
      call.cancel();
      call = null;
    }
    listener.onFailed(this, code, verdict);
    List<Delivery> open = List.copyOf(deliveries);
    deliveries.clear();
    open.forEach(d -> sendFailure(d, failure));
  }

  @Override
  public synchronized void onHead(int newStatus, ImmutableMap<String, String> headers) {
    if (StatusSemantics.impliesNotRun(newStatus)) {
      // Callers would read the status as a promise, but the upstream got the request and its
      // response does not prove that it has no effect.
      fail(
          ErrorCode.ENGINE_ERROR,
          Verdict.MAY_HAVE_RUN,
          "the upstream responded with status " + newStatus);
      return;
    }
    status = newStatus;
    contentType = headers.getOrDefault("content-type", "");
  }

  @Override
  public synchronized void onData(byte[] data) {
    if (!isEnded()) {
      answer.append(data);
      recordTail(data);
      sendAvailable();
    }
  }

  private void recordTail(byte[] data) {
    int added = Math.min(TAIL_BYTES, data.length);
    ByteString last = tail.concat(ByteString.copyFrom(data, data.length - added, added));
    tail = last.substring(Math.max(0, last.size() - TAIL_BYTES));
  }

  @Override
  public synchronized void onEnd() {
    if (!isEnded()) {
      finish();
    }
  }

  @Override
  public synchronized void onEndWithConnection() {
    if (isEnded()) {
      return;
    }
    boolean isInsideEvent =
        contentType.startsWith(EVENT_STREAM)
            && StreamEvents.endOfLastEvent(tail, tail.size()) < tail.size();
    isWholeIfSurvived = !isInsideEvent;
    listener.onConnectionLost(this, new IOException("the response ended with its connection"));
  }

  /**
   * Ends a run whose connection broke or ended with the response, and whose upstream is healthy.
   */
  synchronized void upstreamSurvived() {
    if (isEnded()) {
      return;
    }
    if (isWholeIfSurvived) {
      finish();
    } else {
      fail(
          ErrorCode.ENGINE_ERROR,
          Verdict.MAY_HAVE_RUN,
          "the connection broke, but the upstream still passes its health check");
    }
  }

  private void finish() {
    answer.end();
    call = null;
    inFlightAtEnd = listener.onFinished(this);
    sendAvailable();
  }

  @Override
  public synchronized void onFailure(Exception cause, boolean mayHaveRun) {
    if (isEnded()) {
      return;
    }
    if (mayHaveRun) {
      listener.onConnectionLost(this, cause);
    } else {
      fail(ErrorCode.ENGINE_ERROR, Verdict.NOT_RUN, "the upstream cannot be reached: " + cause);
    }
  }

  private boolean isEnded() {
    return failure != null || answer.isEnded();
  }

  private Optional<Delivery> findDelivery(RequestRef ref) {
    return deliveries.stream().filter(d -> d.ref().equals(ref)).findFirst();
  }

  private void removeDelivery(RequestRef ref) {
    findDelivery(ref)
        .ifPresent(
            d -> {
              deliveries.remove(d);
              d.session().release(ref, this);
            });
  }

  private void sendAvailable(Delivery d) {
    try {
      d.sendAvailable(answer, status, contentType);
      if (answer.isEnded() && d.position() >= answer.length()) {
        answer.checkResume(d.position());
        sendEnd(d);
      }
    } catch (TanagerException e) {
      deliveries.remove(d);
      sendFailure(d, new Failure(e.code(), e.verdict(), e.getMessage()));
    }
  }

  private void sendEnd(Delivery d) {
    deliveries.remove(d);
    End.Builder end =
        End.newBuilder()
            .setRequest(d.ref())
            .setAttempt(d.attempt())
            .setTotalBytes(answer.length())
            .setHttpStatus(status)
            .setContentType(contentType)
            .setInFlight(inFlightAtEnd);
    TokenUsage.addTo(end, answer, streamed);
    d.session().release(d.ref(), this);
    d.session().link().send(SidecarFrames.end(end));
  }

  private void sendFailure(Delivery d, Failure f) {
    d.session().release(d.ref(), this);
    d.session()
        .link()
        .send(SidecarFrames.failed(d.ref(), d.attempt(), f.code(), f.verdict(), f.message()));
  }

  private void grantCredit() {
    if (call == null || isEnded()) {
      return;
    }
    long slowestPosition =
        deliveries.stream().mapToLong(Delivery::position).min().orElse(answer.length());
    long additionalBytes = slowestPosition + WINDOW_BYTES - grantedBytes;
    if (additionalBytes > 0) {
      grantedBytes += additionalBytes;
      call.addCredit((int) Math.min(Integer.MAX_VALUE, additionalBytes));
    }
  }
}
