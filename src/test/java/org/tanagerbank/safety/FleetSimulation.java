package org.tanagerbank.safety;

import com.google.common.collect.ImmutableSet;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.tanagerbank.entry.FlowEvent;
import org.tanagerbank.instance.Upstream;
import org.tanagerbank.instance.Zone;
import org.tanagerbank.request.RequestId;
import org.tanagerbank.routing.ServiceRouter;

/**
 * Simulates entries, sidecars with their engines and the log, and the messages between them.
 *
 * <p>The steps of a history determine which messages are delivered, delayed, reordered, duplicated
 * or lost. The network is less reliable than TCP: messages outlive links and reach later
 * incarnations. Not thread-safe.
 */
final class FleetSimulation {
  static final int SIDECARS = 3;
  static final int ENTRIES = 2;
  static final int CHUNK_BYTES = 5;

  /** The number of messages in transit above which further messages are lost. */
  private static final int MAX_MESSAGES = 200;

  private static final int RECOVERY_ROUNDS = 60;
  private static final long KEY_LIFETIME_MILLIS = 20_000;
  private static final InetSocketAddress UNUSED_ADDRESS = new InetSocketAddress("127.0.0.1", 1);

  /**
   * A message in transit; it is not delivered while its receiver is frozen.
   *
   * @param toSidecar whether the receiver is a sidecar; otherwise it is an entry
   * @param lossless whether the message is never lost
   */
  private record Message(
      boolean toSidecar, int receiverIndex, boolean lossless, Runnable onDelivery) {}

  final Random random = new Random(1);
  final Oracle oracle = new Oracle();
  final SimClaimLog log = new SimClaimLog();
  long nowMillis = 1_000_000;
  private final ImmutableSet<Rule> disabledRules;
  private final List<SimSidecar> sidecars = new ArrayList<>();
  private final List<SimEntry> entries = new ArrayList<>();
  private final List<Message> messagesInTransit = new ArrayList<>();
  private boolean sendsStaleHello;
  private int keyCount;

  FleetSimulation(Rule... disabledRules) {
    this.disabledRules = ImmutableSet.copyOf(disabledRules);
    for (int i = 0; i < SIDECARS; i++) {
      sidecars.add(new SimSidecar(this, i));
    }
    for (int i = 0; i < ENTRIES; i++) {
      entries.add(new SimEntry(this, i));
    }
  }

  boolean isDisabled(Rule rule) {
    return disabledRules.contains(rule);
  }

  static String upstreamId(int index) {
    return "s" + index;
  }

  static int indexOf(String upstreamId) {
    return upstreamId.charAt(1) - '0';
  }

  Upstream upstream(int index) {
    long incarnation = sidecars.get(index).incarnation;
    return new Upstream(upstreamId(index), incarnation, "s", new Zone("z", "r"), UNUSED_ADDRESS, 1);
  }

  ServiceRouter router() {
    return new RandomRouter(this);
  }

  /**
   * Returns the sidecar incarnation that an entry reads from the Hello of a link.
   *
   * <p>A stale Hello gives the incarnation that the request is bound to, or the previous one if the
   * request is not bound.
   *
   * @param boundIncarnation the incarnation that the request is bound to; 0 for none
   */
  long helloIncarnation(int index, long boundIncarnation) {
    long current = sidecars.get(index).incarnation;
    if (!sendsStaleHello) {
      return current;
    }
    return boundIncarnation != 0 ? boundIncarnation : Math.max(1, current - 1);
  }

  void sendToSidecar(int index, Consumer<SimSidecar> delivery) {
    send(new Message(true, index, false, () -> delivery.accept(sidecars.get(index))));
  }

  void sendToEntry(RequestId id, FlowEvent event) {
    int entryIndex = id.entryId().charAt(1) - '0';
    send(new Message(false, entryIndex, false, () -> entries.get(entryIndex).receive(id, event)));
  }

  /**
   * Sends the result of a claim, which is never lost because the entry's own log client sends it.
   */
  void sendClaimResult(RequestId id, FlowEvent event) {
    int entryIndex = id.entryId().charAt(1) - '0';
    messagesInTransit.add(
        new Message(false, entryIndex, true, () -> entries.get(entryIndex).receive(id, event)));
  }

  /** Executes one step of a history. */
  void apply(Step step) {
    SimSidecar sidecar = sidecars.get(step.node() % SIDECARS);
    SimEntry entry = entries.get(step.node() % ENTRIES);
    switch (step.kind()) {
      case SEND_REQUEST -> sendRequest(entry, newRequestSpec(step));
      case RESEND -> earlierKeyedRequest(step).ifPresent(spec -> sendRequest(entry, spec));
      case REUSE_KEY ->
          earlierKeyedRequest(step)
              .ifPresent(spec -> sendRequest(entry, spec.withBody(spec.body() + 1)));
      case DELIVER -> deliver(step.choice(), true);
      case DUPLICATE -> deliver(step.choice(), false);
      case DROP -> drop(step.choice());
      case DELIVER_IN_ORDER -> deliverInOrder(step.choice());
      case PRODUCE_ANSWERS -> sidecar.produce(step.choice() % 12);
      case ADVANCE_CLOCK -> advanceClock(step.choice() * 200L);
      case BREAK_LINK -> entry.breakLink(step.choice() % SIDECARS);
      case CRASH_SIDECAR -> sidecar.restart();
      case CRASH_ENGINE -> sidecar.crashEngine();
      case CRASH_ENTRY -> entry.restart();
      case FREEZE_SIDECAR -> sidecar.frozen = !sidecar.frozen;
      case FREEZE_ENTRY -> entry.frozen = !entry.frozen;
      case LEAVE -> sidecar.leaving = true;
      case REDIRECT_NEXT -> sidecar.redirectNext = true;
      case DISCONNECT_CALLER -> disconnectCaller(step.choice());
      case LOG_OUTAGE -> log.isUnavailable = !log.isUnavailable;
      case LOG_LOSES_RESPONSES -> log.losesResponses = !log.losesResponses;
      case STALE_HELLO -> sendsStaleHello = !sendsStaleHello;
      default -> throw new AssertionError(step);
    }
  }

  /**
   * Ends all freezes and log faults, delivers all messages, and returns a description of the first
   * violation, or empty if there is none.
   */
  Optional<String> recoverAndCheck() {
    sidecars.forEach(s -> s.frozen = false);
    entries.forEach(e -> e.frozen = false);
    log.isUnavailable = false;
    log.losesResponses = false;
    for (int round = 0; round < RECOVERY_ROUNDS && !isQuiescent(); round++) {
      deliverInOrder(MAX_MESSAGES);
      sidecars.forEach(s -> s.produce(50));
      deliverInOrder(MAX_MESSAGES);
      if (round % 4 == 3) {
        advanceClock(1_000);
        for (int s = 0; s < SIDECARS; s++) {
          int sidecarIndex = s;
          entries.forEach(e -> e.breakLink(sidecarIndex));
        }
      }
    }
    Optional<String> unanswered =
        isQuiescent()
            ? Optional.empty()
            : Optional.of(
                "a request has no final response after " + RECOVERY_ROUNDS + " rounds of recovery");
    return oracle
        .findViolation()
        .map(violation -> violation + "; claims " + log)
        .or(() -> unanswered);
  }

  private boolean isQuiescent() {
    return messagesInTransit.isEmpty() && entries.stream().allMatch(SimEntry::isIdle);
  }

  private void sendRequest(SimEntry entry, SimulatedRequest.RequestSpec spec) {
    if (!entry.frozen) {
      oracle.recordRequest(entry.send(spec));
    }
  }

  private SimulatedRequest.RequestSpec newRequestSpec(Step step) {
    int requestKind = step.choice() % 4;
    boolean streamed = step.variant() % 2 == 0;
    int body = step.variant() % 5;
    int boundSidecar = step.variant() % SIDECARS;
    SimulatedRequest.KeyKind keyKind =
        switch (requestKind) {
          case 2 -> SimulatedRequest.KeyKind.ISSUED;
          case 3 -> SimulatedRequest.KeyKind.CALLER_MADE;
          default -> SimulatedRequest.KeyKind.NONE;
        };
    String key = keyKind == SimulatedRequest.KeyKind.NONE ? "" : "key-" + ++keyCount;
    return new SimulatedRequest.RequestSpec(
        body,
        streamed,
        requestKind != 0,
        keyKind,
        key,
        boundSidecar,
        sidecars.get(boundSidecar).incarnation,
        nowMillis + KEY_LIFETIME_MILLIS);
  }

  /** Returns the content of an earlier request with a key, if there is one. */
  private Optional<SimulatedRequest.RequestSpec> earlierKeyedRequest(Step step) {
    List<SimulatedRequest.RequestSpec> keyedSpecs =
        oracle.requests().stream()
            .map(request -> request.spec)
            .filter(spec -> !spec.key().isEmpty())
            .toList();
    return keyedSpecs.isEmpty()
        ? Optional.empty()
        : Optional.of(keyedSpecs.get(keyedSpecs.size() - 1 - step.choice() % keyedSpecs.size()));
  }

  private void disconnectCaller(int index) {
    if (!oracle.requests().isEmpty()) {
      SimulatedRequest request = oracle.requests().get(index % oracle.requests().size());
      entries.forEach(e -> e.disconnectCaller(request.id));
    }
  }

  private void send(Message message) {
    if (messagesInTransit.size() < MAX_MESSAGES) {
      messagesInTransit.add(message);
    }
  }

  private void deliver(int index, boolean removesMessage) {
    if (messagesInTransit.isEmpty()) {
      return;
    }
    Message message = messagesInTransit.get(index % messagesInTransit.size());
    if (isFrozen(message)) {
      return;
    }
    if (removesMessage) {
      messagesInTransit.remove(index % messagesInTransit.size());
    }
    message.onDelivery().run();
  }

  private void drop(int index) {
    if (!messagesInTransit.isEmpty()
        && !messagesInTransit.get(index % messagesInTransit.size()).lossless()) {
      messagesInTransit.remove(index % messagesInTransit.size());
    }
  }

  private void deliverInOrder(int count) {
    for (int i = 0; i < count; i++) {
      int next = 0;
      while (next < messagesInTransit.size() && isFrozen(messagesInTransit.get(next))) {
        next++;
      }
      if (next == messagesInTransit.size()) {
        return;
      }
      deliver(next, true);
    }
  }

  private void advanceClock(long millis) {
    nowMillis += millis;
    sidecars.forEach(SimSidecar::evictExpired);
    entries.stream().filter(e -> !e.frozen).forEach(SimEntry::expireTimeouts);
  }

  private boolean isFrozen(Message message) {
    return message.toSidecar()
        ? sidecars.get(message.receiverIndex()).frozen
        : entries.get(message.receiverIndex()).frozen;
  }
}
