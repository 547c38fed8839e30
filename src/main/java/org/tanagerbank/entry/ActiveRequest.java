package org.tanagerbank.entry;

import com.google.protobuf.UnsafeByteOperations;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.Fingerprint;
import org.tanagerbank.contract.RequestId;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.link.Link;
import org.tanagerbank.machine.Upstream;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.proto.LinkProto.RequestRef;
import org.tanagerbank.proto.LinkProto.Submit;

/**
 * One caller's request in progress: carries out what its {@link RequestFlow} decides.
 *
 * <p>Events may come from any thread; they are worked off one at a time, in order, by whichever
 * thread finds the request idle. No lock is held meanwhile. Thread-safe.
 */
final class ActiveRequest {
  private final Intake.Checked checked;
  private final RequestFlow flow;
  private final CallerResponse response;
  private final RequestContext context;
  private final Queue<Runnable> inbox = new ArrayDeque<>();
  private volatile RequestId id;
  private volatile RequestRef ref;
  private boolean busy;
  private LinkUse linkUse;
  private String code = "OK";
  private String verdict = "RAN";
  private boolean over;
  private boolean firstSend;

  ActiveRequest(
      RequestId id,
      Intake.Checked checked,
      RequestFlow flow,
      CallerResponse response,
      RequestContext context) {
    this.id = id;
    this.ref = Frames.ref(id);
    this.checked = checked;
    this.flow = flow;
    this.response = response;
    this.context = context;
  }

  RequestId id() {
    return id;
  }

  /** Gives the request a new id; frames of the old one no longer reach it. */
  void renew(RequestId newId) {
    id = newId;
    ref = Frames.ref(newId);
  }

  String service() {
    return checked.service().name();
  }

  /** Takes an event. */
  void post(FlowEvent event) {
    run(() -> apply(event));
  }

  /** Returns whether the response was handed to the caller's connection in full. */
  boolean isFlushed() {
    return response.isFlushed();
  }

  private void run(Runnable task) {
    synchronized (inbox) {
      inbox.add(task);
      if (busy) {
        return;
      }
      busy = true;
    }
    for (Runnable head = poll(); head != null; head = poll()) {
      try {
        head.run();
      } catch (RuntimeException e) {
        EventLog.emit(LogEvent.ENTRY_REQUEST_FAILED, e, "request", id);
        abandon();
      }
    }
  }

  private Runnable poll() {
    synchronized (inbox) {
      Runnable head = inbox.poll();
      busy = head != null;
      return head;
    }
  }

  private void apply(FlowEvent event) {
    if (over) {
      return;
    }
    List<FlowAction> actions = flow.on(event, context.now());
    if (!(event instanceof FlowEvent.Submitted || event instanceof FlowEvent.Taken)) {
      setFirstSend(false);
    }
    actions.forEach(this::perform);
    if (event instanceof FlowEvent.CallerGone && flow.isDone()) {
      code = "CANCELLED";
      verdict = "MAY_HAVE_RUN";
    }
    if (flow.isDone()) {
      over = true;
      leaveLink();
      context.ended(this, code, verdict, flow.upstreamsTried());
    }
  }

  private void setFirstSend(boolean now) {
    if (firstSend != now) {
      firstSend = now;
      context.firstSend(service(), now ? 1 : -1);
    }
  }

  /** Ends the request after a fault of this program; the caller gets no wrong answer. */
  private void abandon() {
    if (!over) {
      over = true;
      setFirstSend(false);
      leaveLink();
      response.fail(
          TanagerException.mayHaveRun(ErrorCode.INTERNAL, "the entry failed; see its log"));
      context.ended(this, ErrorCode.INTERNAL.name(), "MAY_HAVE_RUN", flow.upstreamsTried());
    }
  }

  private void perform(FlowAction action) {
    if (action instanceof FlowAction.Submit a) {
      setFirstSend(a.attempt() == 1);
      join(new LinkUse(a.step(), a.upstream(), a.incarnation(), submitFrame(a), 0));
    } else if (action instanceof FlowAction.Query a) {
      join(
          new LinkUse(
              a.step(), a.upstream(), 0, Frames.query(ref, a.incarnation()), a.timeoutMillis()));
    } else if (action instanceof FlowAction.Pause a) {
      leaveLink();
      // The sidecars that refused the request have sealed its id and would refuse it for good.
      context.renew(this);
      context.schedule(a.millis(), () -> post(new FlowEvent.TimedOut(a.step())));
    } else if (action instanceof FlowAction.Claim a) {
      context.claim(checked, a, this::post);
    } else if (action instanceof FlowAction.Cancel a) {
      send(Frames.cancel(ref, a.attempt()));
    } else if (action instanceof FlowAction.Credit a) {
      send(Frames.credit(ref, a.attempt(), a.bytes()));
    } else if (action instanceof FlowAction.Spill a) {
      context.tell(a.holder(), Frames.spill(checked.chat(), a.servedBy()));
    } else {
      respond(action);
    }
  }

  private void respond(FlowAction action) {
    if (action instanceof FlowAction.Begin a) {
      response.begin(a.httpStatus(), a.contentType());
    } else if (action instanceof FlowAction.Deliver a) {
      response.deliver(a.data());
    } else if (action instanceof FlowAction.Finish) {
      response.finish();
    } else if (action instanceof FlowAction.Reply a) {
      response.reply(a.httpStatus(), a.contentType(), a.body());
    } else if (action instanceof FlowAction.Fail a) {
      TanagerException error = a.error();
      code = error.code().name();
      verdict = error.verdict().name();
      response.fail(error);
    }
  }

  private void join(LinkUse next) {
    leaveLink();
    linkUse = next;
    next.join();
  }

  private void leaveLink() {
    if (linkUse != null) {
      linkUse.link.leave(linkUse);
      linkUse = null;
    }
  }

  private void send(Frame frame) {
    if (linkUse != null) {
      linkUse.send(frame);
    }
  }

  private Frame submitFrame(FlowAction.Submit a) {
    byte[] body = checked.http().body();
    String service = checked.service().name();
    return Frame.newBuilder()
        .setSubmit(
            Submit.newBuilder()
                .setRequest(ref)
                .setAttempt(a.attempt())
                .setIncarnation(a.incarnation())
                .setService(service)
                .setModel(checked.model())
                .setWorkspace(checked.workspace())
                .setChatHash(checked.chat().hash())
                .setPriority(checked.priority())
                .setNonIdempotent(checked.nonIdempotent())
                .setIdempotencyKey(checked.key().orElse(""))
                .setFingerprint(Fingerprint.of(service, body).value())
                .setStreamed(checked.streamed())
                .setResumePosition(a.resumePosition())
                .setCreditBytes(a.creditBytes())
                .setMean(context.mean(service))
                .setMethod(checked.http().method())
                .setPath(checked.path())
                .setContentType(checked.http().header("content-type", ""))
                .setBody(UnsafeByteOperations.unsafeWrap(body))
                .setIgnoreHint(a.ignoreHint()))
        .build();
  }

  /** One step of this request on a link. */
  private final class LinkUse implements LinkUser {
    private final int step;
    private final UpstreamLink link;
    private final long wanted;
    private final Frame frame;
    private final long timeoutMillis;
    private final List<Frame> following = new ArrayList<>();
    private Link open;

    LinkUse(int step, Upstream upstream, long wanted, Frame frame, long timeoutMillis) {
      this.step = step;
      this.link = context.link(upstream);
      this.wanted = wanted;
      this.frame = frame;
      this.timeoutMillis = timeoutMillis;
    }

    void join() {
      if (timeoutMillis > 0) {
        context.schedule(timeoutMillis, () -> post(new FlowEvent.TimedOut(step)));
      }
      link.join(this);
    }

    @Override
    public void ready(Link on, long incarnation) {
      run(() -> sendOver(on, incarnation));
    }

    private void sendOver(Link on, long incarnation) {
      if (!flow.isCurrent(step)) {
        return;
      }
      if (wanted != 0 && wanted != incarnation) {
        apply(new FlowEvent.WrongIncarnation(step));
        return;
      }
      if (frame.hasSubmit()) {
        apply(new FlowEvent.Submitted(step, incarnation));
      }
      open = on;
      on.send(frame.hasSubmit() ? forIncarnation(incarnation) : frame);
      following.forEach(on::send);
      following.clear();
    }

    /** Sends a frame after the one that this linkUse is for, which may still wait for the link. */
    void send(Frame next) {
      if (open != null) {
        open.send(next);
      } else {
        following.add(next);
      }
    }

    private Frame forIncarnation(long incarnation) {
      return Frame.newBuilder()
          .setSubmit(frame.getSubmit().toBuilder().setIncarnation(incarnation))
          .build();
    }

    @Override
    public void unreachable() {
      post(new FlowEvent.Unreachable(step));
    }

    @Override
    public void lost() {
      post(new FlowEvent.LinkLost(step));
    }
  }
}
