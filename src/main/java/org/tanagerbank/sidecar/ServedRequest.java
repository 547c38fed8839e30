package org.tanagerbank.sidecar;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.Fingerprint;
import org.tanagerbank.contract.RequestId;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.contract.Verdict;
import org.tanagerbank.http.HttpCall;
import org.tanagerbank.http.HttpCallListener;
import org.tanagerbank.ledger.AnswerBuffer;
import org.tanagerbank.proto.LinkProto.End;
import org.tanagerbank.proto.LinkProto.RequestRef;

/**
 * One run at the upstream, and the deliveries of its answer.
 *
 * <p>Invariants: the run ends once; an End is sent only after the whole answer; the upstream may
 * send at most a window of bytes more than the slowest delivery has sent on. Without a delivery the
 * upstream is not held back. Guarded by its own monitor; thread-safe.
 */
final class ServedRequest implements HttpCallListener {
  /** Bytes of an answer that the upstream may be ahead of the slowest delivery. */
  static final int WINDOW_BYTES = 256 << 10;

  /** Bytes kept; more than the window, because a call may exceed its credit by an I/O buffer. */
  private static final int RETAINED_BYTES = 2 * WINDOW_BYTES;

  /** Is told once how the run ended. Called under the run's monitor. */
  interface Owner {
    /** The answer arrived in full; returns the number of requests that are still in flight. */
    int finished(ServedRequest run);

    /** The run ended without a whole answer. */
    void failed(ServedRequest run, ErrorCode code, Verdict verdict);

    /** The connection broke after the upstream may have begun; the cause is not known yet. */
    void aborted(ServedRequest run, Exception cause);
  }

  private final RequestId id;
  private final String workspace;
  private final Fingerprint fingerprint;
  private final boolean nonIdempotent;
  private final boolean streamed;
  private final Owner owner;
  private final AnswerBuffer answer = new AnswerBuffer(RETAINED_BYTES);
  private final List<Delivery> deliveries = new ArrayList<>();
  private HttpCall call;
  private long granted = WINDOW_BYTES;
  private int status;
  private String contentType = "";
  private int inFlightAtEnd;
  private Failure failure;
  private long unattendedSince;

  private record Failure(ErrorCode code, Verdict verdict, String message) {}

  ServedRequest(
      RequestId id,
      String workspace,
      Fingerprint fingerprint,
      boolean nonIdempotent,
      boolean streamed,
      Owner owner) {
    this.id = id;
    this.workspace = workspace;
    this.fingerprint = fingerprint;
    this.nonIdempotent = nonIdempotent;
    this.streamed = streamed;
    this.owner = owner;
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

  synchronized long availableBytes() {
    return answer.length();
  }

  synchronized long retainedBytes() {
    return answer.retainedBytes();
  }

  /** Takes the call to the upstream, which may already have failed. */
  synchronized void started(HttpCall upstreamCall) {
    if (isEnded()) {
      upstreamCall.cancel();
    } else {
      call = upstreamCall;
      grant();
    }
  }

  /** Gives the answer to one more request, in place of an earlier attempt of the same one. */
  synchronized void attach(Delivery delivery) {
    removeDelivery(delivery.ref());
    if (failure != null) {
      sendFailure(delivery, failure);
      return;
    }
    delivery.session().bind(delivery.ref(), this);
    deliveries.add(delivery);
    pump(delivery);
    grant();
  }

  synchronized void addCredit(RequestRef ref, int attempt, long bytes) {
    find(ref)
        .filter(d -> d.attempt() == attempt)
        .ifPresent(
            d -> {
              d.addCredit(bytes);
              pump(d);
              grant();
            });
  }

  /** Stops the delivery to a request; a run that may run again is cancelled with its last one. */
  synchronized void cancel(RequestRef ref, int attempt) {
    if (find(ref).filter(d -> d.attempt() == attempt).isEmpty()) {
      return;
    }
    removeDelivery(ref);
    if (deliveries.isEmpty() && !nonIdempotent) {
      fail(ErrorCode.CANCELLED, Verdict.MAY_HAVE_RUN, "cancelled by the caller");
    }
    grant();
  }

  /** Cancels a run that may run again when no entry has wanted its answer for some time. */
  synchronized void cancelUnattended(long sinceMillis, long nowMillis) {
    if (!deliveries.isEmpty() || nonIdempotent) {
      unattendedSince = 0;
    } else if (unattendedSince == 0) {
      unattendedSince = nowMillis;
    } else if (nowMillis - unattendedSince > sinceMillis) {
      fail(ErrorCode.CANCELLED, Verdict.MAY_HAVE_RUN, "no entry asks for the answer");
    }
  }

  /** Stops the deliveries over a link that is gone; the run goes on. */
  synchronized void detach(LinkSession session) {
    deliveries.removeIf(d -> d.session() == session);
    grant();
  }

  /** Sends what may be sent to all deliveries. */
  synchronized void pump() {
    List.copyOf(deliveries).forEach(this::pump);
    grant();
  }

  /** Ends the run without a whole answer; does nothing when it has ended. */
  synchronized void fail(ErrorCode code, Verdict verdict, String message) {
    if (isEnded()) {
      return;
    }
    failure = new Failure(code, verdict, message);
    if (call != null) {
      call.cancel();
      call = null;
    }
    owner.failed(this, code, verdict);
    List<Delivery> open = List.copyOf(deliveries);
    deliveries.clear();
    open.forEach(d -> sendFailure(d, failure));
  }

  @Override
  public synchronized void onHead(int newStatus, ImmutableMap<String, String> headers) {
    status = newStatus;
    contentType = headers.getOrDefault("content-type", "");
  }

  @Override
  public synchronized void onData(byte[] data) {
    if (!isEnded()) {
      answer.append(data);
      pump();
    }
  }

  @Override
  public synchronized void onEnd() {
    if (isEnded()) {
      return;
    }
    answer.end();
    call = null;
    inFlightAtEnd = owner.finished(this);
    pump();
  }

  @Override
  public synchronized void onFailure(Exception cause, boolean mayHaveRun) {
    if (isEnded()) {
      return;
    }
    if (mayHaveRun) {
      owner.aborted(this, cause);
    } else {
      fail(ErrorCode.ENGINE_ERROR, Verdict.NOT_RUN, "the upstream cannot be reached: " + cause);
    }
  }

  private boolean isEnded() {
    return failure != null || answer.isEnded();
  }

  private Optional<Delivery> find(RequestRef ref) {
    return deliveries.stream().filter(d -> d.ref().equals(ref)).findFirst();
  }

  private void removeDelivery(RequestRef ref) {
    find(ref)
        .ifPresent(
            d -> {
              deliveries.remove(d);
              d.session().release(ref, this);
            });
  }

  private void pump(Delivery d) {
    try {
      d.pump(answer, status, contentType);
      if (answer.isEnded() && d.position() >= answer.length()) {
        answer.checkResume(d.position());
        complete(d);
      }
    } catch (TanagerException e) {
      deliveries.remove(d);
      sendFailure(d, new Failure(e.code(), e.verdict(), e.getMessage()));
    }
  }

  private void complete(Delivery d) {
    deliveries.remove(d);
    End.Builder end =
        End.newBuilder()
            .setRequest(d.ref())
            .setAttempt(d.attempt())
            .setTotalBytes(answer.length())
            .setHttpStatus(status)
            .setContentType(contentType)
            .setInFlight(inFlightAtEnd);
    Usage.addTo(end, answer, streamed);
    d.session().release(d.ref(), this);
    d.session().link().send(Frames.end(end));
  }

  private void sendFailure(Delivery d, Failure f) {
    d.session().release(d.ref(), this);
    d.session()
        .link()
        .send(Frames.failed(d.ref(), d.attempt(), f.code(), f.verdict(), f.message()));
  }

  private void grant() {
    if (call == null || isEnded()) {
      return;
    }
    long base = deliveries.stream().mapToLong(Delivery::position).min().orElse(answer.length());
    long more = base + WINDOW_BYTES - granted;
    if (more > 0) {
      granted += more;
      call.addCredit((int) Math.min(Integer.MAX_VALUE, more));
    }
  }
}
