package org.tanagerbank.safety;

import com.google.common.collect.ImmutableSet;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.tanagerbank.contract.RequestId;
import org.tanagerbank.entry.FlowEvent;
import org.tanagerbank.machine.Upstream;
import org.tanagerbank.machine.Zone;
import org.tanagerbank.routing.ServiceRouter;

/**
 * Entries, sidecars, engines and the log, joined by messages that a history of steps delays,
 * reorders, repeats and loses.
 *
 * <p>The network is harsher than TCP: messages outlive links and reach later incarnations.
 */
final class World {
  static final int SIDECARS = 3;
  static final int ENTRIES = 2;
  static final int CHUNK_BYTES = 5;

  private static final int MAX_MESSAGES = 200;
  private static final int SETTLE_ROUNDS = 60;
  private static final long KEY_MILLIS = 20_000;
  private static final InetSocketAddress NOWHERE = new InetSocketAddress("127.0.0.1", 1);

  /** A message in transit; it waits while its receiver is frozen. */
  private record Message(boolean toSidecar, int slot, boolean lossless, Runnable arrive) {}

  final Random random = new Random(1);
  final Oracle oracle = new Oracle();
  final SimLog log = new SimLog();
  long now = 1_000_000;
  private final ImmutableSet<Rule> removed;
  private final List<SimSidecar> sidecars = new ArrayList<>();
  private final List<SimEntry> entries = new ArrayList<>();
  private final List<Message> wire = new ArrayList<>();
  private boolean staleHello;
  private int keys;

  World(Rule... removed) {
    this.removed = ImmutableSet.copyOf(removed);
    for (int i = 0; i < SIDECARS; i++) {
      sidecars.add(new SimSidecar(this, i));
    }
    for (int i = 0; i < ENTRIES; i++) {
      entries.add(new SimEntry(this, i));
    }
  }

  boolean lacks(Rule rule) {
    return removed.contains(rule);
  }

  static String upstreamId(int slot) {
    return "s" + slot;
  }

  static int slotOf(String upstreamId) {
    return upstreamId.charAt(1) - '0';
  }

  Upstream upstream(int slot) {
    long incarnation = sidecars.get(slot).incarnation;
    return new Upstream(upstreamId(slot), incarnation, "s", new Zone("z", "r"), NOWHERE, 1);
  }

  ServiceRouter router() {
    return new AnyRouter(this);
  }

  /** Returns the incarnation that the entry takes a link for; a late Hello is of an earlier one. */
  long helloOf(int slot, long wanted) {
    long current = sidecars.get(slot).incarnation;
    if (!staleHello) {
      return current;
    }
    return wanted != 0 ? wanted : Math.max(1, current - 1);
  }

  void toSidecar(int slot, Consumer<SimSidecar> arrive) {
    send(new Message(true, slot, false, () -> arrive.accept(sidecars.get(slot))));
  }

  void toEntry(RequestId id, FlowEvent event) {
    int slot = id.entryId().charAt(1) - '0';
    send(new Message(false, slot, false, () -> entries.get(slot).received(id, event)));
  }

  /** Passes on the result of a claim, which the entry's own log client always gives. */
  void claimResult(RequestId id, FlowEvent event) {
    int slot = id.entryId().charAt(1) - '0';
    wire.add(new Message(false, slot, true, () -> entries.get(slot).received(id, event)));
  }

  /** Carries out one step of a history. */
  void apply(Step step) {
    SimSidecar sidecar = sidecars.get(step.a() % SIDECARS);
    SimEntry entry = entries.get(step.a() % ENTRIES);
    switch (step.kind()) {
      case POST -> post(entry, newAsk(step));
      case RESEND -> earlier(step).ifPresent(ask -> post(entry, ask));
      case REUSE -> earlier(step).ifPresent(ask -> post(entry, ask.withBody(ask.body() + 1)));
      case DELIVER -> deliver(step.b(), true);
      case DUPLICATE -> deliver(step.b(), false);
      case DROP -> drop(step.b());
      case FLOW -> flow(step.b());
      case ENGINE -> sidecar.step(step.b() % 12);
      case TICK -> tick(step.b() * 200L);
      case BREAK_LINK -> entry.linkLost(step.b() % SIDECARS);
      case CRASH_SIDECAR -> sidecar.restart();
      case CRASH_ENGINE -> sidecar.crashEngine();
      case CRASH_ENTRY -> entry.restart();
      case FREEZE_SIDECAR -> sidecar.frozen = !sidecar.frozen;
      case FREEZE_ENTRY -> entry.frozen = !entry.frozen;
      case LEAVE -> sidecar.leaving = true;
      case MOVE -> sidecar.moveNext = true;
      case GONE -> gone(step.b());
      case LOG_OUTAGE -> log.outage = !log.outage;
      case LOG_LOSES -> log.loseAnswers = !log.loseAnswers;
      case STALE_HELLO -> staleHello = !staleHello;
      default -> throw new AssertionError(step);
    }
  }

  /** Lets everything recover and all messages arrive, and returns what went wrong, if anything. */
  Optional<String> settle() {
    sidecars.forEach(s -> s.frozen = false);
    entries.forEach(e -> e.frozen = false);
    log.outage = false;
    log.loseAnswers = false;
    for (int round = 0; round < SETTLE_ROUNDS && !isSettled(); round++) {
      flow(MAX_MESSAGES);
      sidecars.forEach(s -> s.step(50));
      flow(MAX_MESSAGES);
      if (round % 4 == 3) {
        tick(1_000);
        for (int s = 0; s < SIDECARS; s++) {
          int slot = s;
          entries.forEach(e -> e.linkLost(slot));
        }
      }
    }
    Optional<String> unsettled =
        isSettled() ? Optional.empty() : Optional.of("a caller is left without an answer");
    return oracle.violation().map(fault -> fault + "; claims " + log).or(() -> unsettled);
  }

  private boolean isSettled() {
    return wire.isEmpty() && entries.stream().allMatch(SimEntry::isIdle);
  }

  private void post(SimEntry entry, Post.Ask ask) {
    if (!entry.frozen) {
      oracle.posted(entry.post(ask));
    }
  }

  private Post.Ask newAsk(Step step) {
    int kind = step.b() % 4;
    boolean streamed = step.c() % 2 == 0;
    int body = step.c() % 5;
    int bound = step.c() % SIDECARS;
    Post.Binding binding =
        switch (kind) {
          case 2 -> Post.Binding.ISSUED;
          case 3 -> Post.Binding.MADE;
          default -> Post.Binding.NONE;
        };
    String key = binding == Post.Binding.NONE ? "" : "key-" + ++keys;
    return new Post.Ask(
        body,
        streamed,
        kind != 0,
        binding,
        key,
        bound,
        sidecars.get(bound).incarnation,
        now + KEY_MILLIS);
  }

  /** Returns what a POST with a key asked for, so that it is sent again. */
  private Optional<Post.Ask> earlier(Step step) {
    List<Post.Ask> keyed =
        oracle.posts().stream().map(p -> p.ask).filter(a -> !a.key().isEmpty()).toList();
    return keyed.isEmpty()
        ? Optional.empty()
        : Optional.of(keyed.get(keyed.size() - 1 - step.b() % keyed.size()));
  }

  private void gone(int index) {
    if (!oracle.posts().isEmpty()) {
      Post post = oracle.posts().get(index % oracle.posts().size());
      entries.forEach(e -> e.callerGone(post.id));
    }
  }

  private void send(Message message) {
    if (wire.size() < MAX_MESSAGES) {
      wire.add(message);
    }
  }

  private void deliver(int index, boolean remove) {
    if (wire.isEmpty()) {
      return;
    }
    Message message = wire.get(index % wire.size());
    if (isFrozen(message)) {
      return;
    }
    if (remove) {
      wire.remove(index % wire.size());
    }
    message.arrive().run();
  }

  private void drop(int index) {
    if (!wire.isEmpty() && !wire.get(index % wire.size()).lossless()) {
      wire.remove(index % wire.size());
    }
  }

  private void flow(int count) {
    for (int i = 0; i < count; i++) {
      int next = 0;
      while (next < wire.size() && isFrozen(wire.get(next))) {
        next++;
      }
      if (next == wire.size()) {
        return;
      }
      deliver(next, true);
    }
  }

  private void tick(long millis) {
    now += millis;
    sidecars.forEach(SimSidecar::tidy);
    entries.stream().filter(e -> !e.frozen).forEach(SimEntry::tick);
  }

  private boolean isFrozen(Message m) {
    return m.toSidecar() ? sidecars.get(m.slot()).frozen : entries.get(m.slot()).frozen;
  }
}
