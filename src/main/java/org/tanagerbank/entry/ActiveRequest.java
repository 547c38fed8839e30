package org.tanagerbank.entry;

import com.google.protobuf.UnsafeByteOperations;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.instance.Upstream;
import org.tanagerbank.link.Link;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.proto.LinkProto.RequestRef;
import org.tanagerbank.proto.LinkProto.Submit;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.Fingerprint;
import org.tanagerbank.request.RequestId;
import org.tanagerbank.request.TanagerException;

/**
 * Executes the actions that the {@link RequestFlow} of one caller's request returns.
 *
 * <p>Any thread may post events. Events are processed one at a time, in the order of posting, by
 * the thread that posts an event while no other thread is processing one. No lock is held while an
 * event is processed. Thread-safe.
 */
final class ActiveRequest {
  private final RequestValidator.ValidRequest validRequest;
  private final RequestFlow flow;
  private final CallerResponse response;
  private final RequestContext context;
  private final Queue<Runnable> eventQueue = new ArrayDeque<>();
  private volatile RequestId id;
  private volatile RequestRef ref;
  private boolean processing;
  private LinkUse linkUse;
  private String code = "OK";
  private String verdict = "RAN";
  private boolean finished;
  private boolean awaitsFirstAnswer;

  ActiveRequest(
      RequestId id,
      RequestValidator.ValidRequest validRequest,
      RequestFlow flow,
      CallerResponse response,
      RequestContext context) {
    this.id = id;
    this.ref = RequestFrames.ref(id);
    this.validRequest = validRequest;
    this.flow = flow;
    this.response = response;
    this.context = context;
  }

  RequestId id() {
    return id;
  }

  /** Replaces the id of the request. Frames that carry the previous id are not routed to it. */
  void setId(RequestId newId) {
    id = newId;
    ref = RequestFrames.ref(newId);
  }

  String service() {
    return validRequest.service().name();
  }

  /** Queues an event and processes the queue unless another thread is already doing so. */
  void post(FlowEvent event) {
    enqueue(() -> apply(event));
  }

  /**
   * Returns whether no byte of the response is waiting to be written to the caller's connection.
   */
  boolean isFlushed() {
    return response.isFlushed();
  }

  private void enqueue(Runnable task) {
    synchronized (eventQueue) {
      eventQueue.add(task);
      if (processing) {
        return;
      }
      processing = true;
    }
    for (Runnable head = pollOrStop(); head != null; head = pollOrStop()) {
      try {
        head.run();
      } catch (RuntimeException e) {
        EventLog.emit(LogEvent.ENTRY_REQUEST_FAILED, e, "request", id);
        abandon();
      }
    }
  }

  private Runnable pollOrStop() {
    synchronized (eventQueue) {
      Runnable head = eventQueue.poll();
      processing = head != null;
      return head;
    }
  }

  private void apply(FlowEvent event) {
    if (finished) {
      return;
    }
    List<FlowAction> actions = flow.handle(event, context.now());
    if (!(event instanceof FlowEvent.Submitted || event instanceof FlowEvent.BytesConsumed)) {
      setAwaitsFirstAnswer(false);
    }
    actions.forEach(this::perform);
    if (event instanceof FlowEvent.CallerDisconnected && flow.isDone()) {
      code = "CANCELLED";
      verdict = "MAY_HAVE_RUN";
    }
    if (flow.isDone()) {
      finished = true;
      releaseLink();
      context.requestEnded(this, code, verdict, flow.upstreamsTried());
    }
  }

  private void setAwaitsFirstAnswer(boolean awaits) {
    if (awaitsFirstAnswer != awaits) {
      awaitsFirstAnswer = awaits;
      context.addFirstSends(service(), awaits ? 1 : -1);
    }
  }

  /**
   * Ends the request with an internal error after an unexpected exception in this process, so that
   * the caller does not receive a wrong answer.
   */
  private void abandon() {
    if (!finished) {
      finished = true;
      setAwaitsFirstAnswer(false);
      releaseLink();
      response.fail(
          TanagerException.mayHaveRun(
              ErrorCode.INTERNAL, "internal error in the entry; see the log of the entry"));
      context.requestEnded(this, ErrorCode.INTERNAL.name(), "MAY_HAVE_RUN", flow.upstreamsTried());
    }
  }

  private void perform(FlowAction action) {
    if (action instanceof FlowAction.Submit a) {
      setAwaitsFirstAnswer(a.attempt() == 1);
      acquireLink(new LinkUse(a.step(), a.upstream(), a.incarnation(), submitFrame(a), 0));
    } else if (action instanceof FlowAction.Query a) {
      acquireLink(
          new LinkUse(
              a.step(),
              a.upstream(),
              0,
              RequestFrames.query(ref, a.incarnation()),
              a.timeoutMillis()));
    } else if (action instanceof FlowAction.Pause a) {
      releaseLink();
      // The sidecars that refused the request have sealed its id and would refuse that id forever.
      context.assignNewId(this);
      context.schedule(a.millis(), () -> post(new FlowEvent.TimedOut(a.step())));
    } else if (action instanceof FlowAction.Claim a) {
      context.claim(validRequest, a, this::post);
    } else if (action instanceof FlowAction.Cancel a) {
      send(RequestFrames.cancel(ref, a.attempt()));
    } else if (action instanceof FlowAction.Credit a) {
      send(RequestFrames.credit(ref, a.attempt(), a.bytes()));
    } else if (action instanceof FlowAction.SendSpillNotice a) {
      context.sendHint(a.holder(), RequestFrames.spill(validRequest.chat(), a.servedBy()));
    } else {
      respond(action);
    }
  }

  private void respond(FlowAction action) {
    if (action instanceof FlowAction.Begin a) {
      response.begin(a.httpStatus(), a.contentType());
    } else if (action instanceof FlowAction.WriteBody a) {
      response.deliver(a.data());
    } else if (action instanceof FlowAction.Finish) {
      response.finish();
    } else if (action instanceof FlowAction.SendResponse a) {
      response.reply(a.httpStatus(), a.contentType(), a.body());
    } else if (action instanceof FlowAction.Fail a) {
      TanagerException error = a.error();
      code = error.code().name();
      verdict = error.verdict().name();
      response.fail(error);
    }
  }

  private void acquireLink(LinkUse next) {
    releaseLink();
    linkUse = next;
    next.acquireLink();
  }

  private void releaseLink() {
    if (linkUse != null) {
      linkUse.link.release(linkUse);
      linkUse = null;
    }
  }

  private void send(Frame frame) {
    if (linkUse != null) {
      linkUse.send(frame);
    }
  }

  private Frame submitFrame(FlowAction.Submit a) {
    byte[] body = validRequest.http().body();
    String service = validRequest.service().name();
    return Frame.newBuilder()
        .setSubmit(
            Submit.newBuilder()
                .setRequest(ref)
                .setAttempt(a.attempt())
                .setIncarnation(a.incarnation())
                .setService(service)
                .setModel(validRequest.model())
                .setWorkspace(validRequest.workspace())
                .setChatHash(validRequest.chat().hash())
                .setPriority(validRequest.priority())
                .setNonIdempotent(validRequest.nonIdempotent())
                .setIdempotencyKey(validRequest.key().orElse(""))
                .setFingerprint(Fingerprint.of(service, body).value())
                .setStreamed(validRequest.streamed())
                .setResumePosition(a.resumePosition())
                .setCreditBytes(a.creditBytes())
                .setMean(context.mean(service))
                .setMethod(validRequest.http().method())
                .setPath(validRequest.path())
                .setContentType(validRequest.http().header("content-type", ""))
                .setBody(UnsafeByteOperations.unsafeWrap(body))
                .setIgnoreHint(a.ignoreHint()))
        .build();
  }

  /** Sends the frames of one step of this request over a link and reports the loss of the link. */
  private final class LinkUse implements LinkUser {
    private final int step;
    private final UpstreamLink link;
    private final long requiredIncarnation;
    private final Frame frame;
    private final long timeoutMillis;
    private final List<Frame> queuedFrames = new ArrayList<>();
    private Link openLink;

    LinkUse(
        int step, Upstream upstream, long requiredIncarnation, Frame frame, long timeoutMillis) {
      this.step = step;
      this.link = context.link(upstream);
      this.requiredIncarnation = requiredIncarnation;
      this.frame = frame;
      this.timeoutMillis = timeoutMillis;
    }

    void acquireLink() {
      if (timeoutMillis > 0) {
        context.schedule(timeoutMillis, () -> post(new FlowEvent.TimedOut(step)));
      }
      link.acquire(this);
    }

    @Override
    public void onReady(Link readyLink, long incarnation) {
      enqueue(() -> sendOver(readyLink, incarnation));
    }

    private void sendOver(Link readyLink, long incarnation) {
      if (!flow.isCurrentStep(step)) {
        return;
      }
      if (requiredIncarnation != 0 && requiredIncarnation != incarnation) {
        apply(new FlowEvent.WrongIncarnation(step));
        return;
      }
      if (frame.hasSubmit()) {
        apply(new FlowEvent.Submitted(step, incarnation));
      }
      openLink = readyLink;
      readyLink.send(frame.hasSubmit() ? forIncarnation(incarnation) : frame);
      queuedFrames.forEach(readyLink::send);
      queuedFrames.clear();
    }

    /**
     * Sends a frame after the first frame of this step, or queues it while that frame is waiting
     * for the link to open.
     */
    void send(Frame next) {
      if (openLink != null) {
        openLink.send(next);
      } else {
        queuedFrames.add(next);
      }
    }

    private Frame forIncarnation(long incarnation) {
      return Frame.newBuilder()
          .setSubmit(frame.getSubmit().toBuilder().setIncarnation(incarnation))
          .build();
    }

    @Override
    public void onUnreachable() {
      post(new FlowEvent.Unreachable(step));
    }

    @Override
    public void onLost() {
      post(new FlowEvent.LinkLost(step));
    }
  }
}
