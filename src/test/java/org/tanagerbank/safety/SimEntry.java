package org.tanagerbank.safety;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import org.tanagerbank.contract.ChatKey;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.RequestId;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.entry.ClaimIndex.Binding;
import org.tanagerbank.entry.ClaimIndex.Claim;
import org.tanagerbank.entry.FlowAction;
import org.tanagerbank.entry.FlowEvent;
import org.tanagerbank.entry.FlowRequest;
import org.tanagerbank.entry.FlowRequest.KeyBinding;
import org.tanagerbank.entry.RequestFlow;
import org.tanagerbank.routing.RetryBudget;

/** One entry: the production request flow, joined to sidecars and the log by messages. */
final class SimEntry {
  /** One POST in progress. */
  private static final class Active {
    private final Post post;
    private final RequestFlow flow;
    private final Queue<FlowEvent> inbox = new ArrayDeque<>();
    private boolean busy;
    private int step;
    private int sidecar = -1;
    private int attempt;
    private long position;
    private long timeoutAt = Long.MAX_VALUE;

    Active(Post post, RequestFlow flow) {
      this.post = post;
      this.flow = flow;
    }
  }

  private final World world;
  private final int slot;
  private final Map<RequestId, Active> active = new LinkedHashMap<>();
  private SimLog.Reader claims;
  private RetryBudget budget = new RetryBudget();
  private long incarnation = 1;
  private long sequence;
  boolean frozen;

  SimEntry(World world, int slot) {
    this.world = world;
    this.slot = slot;
    this.claims = world.log.new Reader();
  }

  String id() {
    return "e" + slot;
  }

  /** Starts the next incarnation; the callers of the last one see their connections break. */
  void restart() {
    incarnation++;
    sequence = 0;
    active.clear();
    budget = new RetryBudget();
    claims = world.log.new Reader();
    frozen = false;
  }

  Post post(Post.Ask ask) {
    sequence++;
    Post post = new Post(new RequestId(id(), incarnation, sequence), ask);
    FlowRequest request =
        new FlowRequest(
            "w",
            new ChatKey(ask.body()),
            false,
            ask.streamed(),
            ask.nonIdempotent(),
            false,
            false,
            binding(ask));
    budget.requested(world.now);
    RequestFlow flow = new RequestFlow(request, world.router(), budget, world.random);
    Active made = new Active(post, flow);
    active.put(post.id, made);
    on(made, new FlowEvent.Start());
    return post;
  }

  /** Takes a frame about a request. */
  void received(RequestId id, FlowEvent event) {
    Active a = active.get(id);
    if (a != null) {
      on(a, world.lacks(Rule.ATTEMPT) ? withAttempt(event, a.attempt) : event);
    }
  }

  /** Breaks the link to a sidecar. */
  void linkLost(int sidecar) {
    List.copyOf(active.values()).stream()
        .filter(a -> a.sidecar == sidecar)
        .forEach(a -> on(a, new FlowEvent.LinkLost(a.step)));
  }

  void callerGone(RequestId id) {
    Active a = active.get(id);
    if (a != null) {
      a.post.gone = true;
      on(a, new FlowEvent.CallerGone());
    }
  }

  /** Tells the requests whose time is over. */
  void tick() {
    for (Active a : List.copyOf(active.values())) {
      if (a.timeoutAt <= world.now) {
        a.timeoutAt = Long.MAX_VALUE;
        on(a, new FlowEvent.TimedOut(a.step));
      }
    }
  }

  boolean isIdle() {
    return active.isEmpty();
  }

  private KeyBinding binding(Post.Ask ask) {
    return switch (ask.binding()) {
      case NONE -> new KeyBinding.None();
      case MADE -> new KeyBinding.Made();
      case ISSUED ->
          new KeyBinding.Issued(Optional.of(world.upstream(ask.bound())), ask.incarnation());
    };
  }

  private void on(Active a, FlowEvent event) {
    a.inbox.add(event);
    if (a.busy) {
      return;
    }
    a.busy = true;
    for (FlowEvent next = a.inbox.poll(); next != null; next = a.inbox.poll()) {
      FlowEvent seen = track(a, next);
      a.flow.on(seen, world.now).forEach(action -> perform(a, action));
    }
    a.busy = false;
    if (a.flow.isDone()) {
      active.remove(a.post.id);
    }
  }

  /** Follows the position, so that a test can do without the check of the end mark. */
  private FlowEvent track(Active a, FlowEvent event) {
    if (event instanceof FlowEvent.Piece p && p.attempt() == a.attempt) {
      boolean fits = p.position() <= a.position;
      a.position = fits ? Math.max(a.position, p.position() + p.data().size()) : a.position;
    } else if (event instanceof FlowEvent.Ended e && world.lacks(Rule.END_MARK)) {
      return new FlowEvent.Ended(e.attempt(), a.position, e.httpStatus(), "", 0);
    }
    return event;
  }

  private void perform(Active a, FlowAction action) {
    if (action instanceof FlowAction.Submit s) {
      submit(a, s);
    } else if (action instanceof FlowAction.Query q) {
      a.step = q.step();
      a.sidecar = World.slotOf(q.upstream().id());
      a.timeoutAt = world.now + q.timeoutMillis();
      world.toSidecar(a.sidecar, s -> s.query(a.post.id, q.incarnation()));
    } else if (action instanceof FlowAction.Pause p) {
      a.step = p.step();
      a.timeoutAt = world.now + p.millis();
    } else if (action instanceof FlowAction.Claim c) {
      claim(a, c);
    } else if (action instanceof FlowAction.Cancel c) {
      world.toSidecar(World.slotOf(c.upstream().id()), s -> s.cancel(a.post.id, c.attempt()));
    } else if (action instanceof FlowAction.Deliver d) {
      a.post.received = a.post.received.concat(d.data());
      on(a, new FlowEvent.Taken(d.data().size()));
    } else if (action instanceof FlowAction.Reply r) {
      a.post.received = r.body();
      a.post.succeeded = true;
    } else if (action instanceof FlowAction.Finish) {
      a.post.succeeded = true;
    } else if (action instanceof FlowAction.Fail f) {
      a.post.error = f.error();
    }
  }

  private void submit(Active a, FlowAction.Submit s) {
    a.step = s.step();
    a.sidecar = World.slotOf(s.upstream().id());
    a.attempt = s.attempt();
    a.position = s.resumePosition();
    a.timeoutAt = Long.MAX_VALUE;
    long at = world.helloOf(a.sidecar, s.incarnation());
    if (s.incarnation() != 0 && s.incarnation() != at) {
      on(a, new FlowEvent.WrongIncarnation(s.step()));
      return;
    }
    on(a, new FlowEvent.Submitted(s.step(), at));
    SimSidecar.SubmitMessage message =
        new SimSidecar.SubmitMessage(
            a.post.id, a.post.ask, s.attempt(), at, s.resumePosition(), s.ignoreHint());
    world.toSidecar(a.sidecar, to -> to.submit(message));
  }

  private void claim(Active a, FlowAction.Claim c) {
    a.step = c.step();
    a.sidecar = -1;
    Claim own =
        new Claim(
            a.post.id.toString(),
            a.post.ask.key(),
            c.upstream().id(),
            c.upstream().incarnation(),
            c.supersedes());
    Optional<Binding> bound = claims.claim(own);
    if (bound.isEmpty()) {
      TanagerException error = TanagerException.notRun(ErrorCode.LOG_UNAVAILABLE, "", 1_000);
      world.claimResult(a.post.id, new FlowEvent.ClaimFailed(c.step(), error));
      return;
    }
    boolean ignoresOrder = world.lacks(Rule.CLAIM_ORDER);
    String upstreamId = ignoresOrder ? own.upstreamId() : bound.get().upstreamId();
    long at = ignoresOrder ? own.incarnation() : bound.get().incarnation();
    world.claimResult(
        a.post.id,
        new FlowEvent.Claimed(
            c.step(),
            Optional.of(world.upstream(World.slotOf(upstreamId))),
            at,
            bound.get().offset()));
  }

  private static FlowEvent withAttempt(FlowEvent event, int attempt) {
    if (event instanceof FlowEvent.Piece p) {
      return new FlowEvent.Piece(attempt, p.position(), p.data(), p.httpStatus(), "");
    } else if (event instanceof FlowEvent.Ended e) {
      return new FlowEvent.Ended(attempt, e.totalBytes(), e.httpStatus(), "", 0);
    } else if (event instanceof FlowEvent.Refused r) {
      return new FlowEvent.Refused(attempt, r.code(), "", 0, 0, r.movedTo());
    } else if (event instanceof FlowEvent.Failed f) {
      return new FlowEvent.Failed(f.upstreamId(), attempt, f.verdict(), f.code(), "", 0);
    }
    return event;
  }
}
