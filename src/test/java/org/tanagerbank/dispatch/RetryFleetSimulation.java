package org.tanagerbank.dispatch;

import static com.google.common.collect.ImmutableSet.toImmutableSet;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.tanagerbank.peer.PeerAddress;
import org.tanagerbank.peer.PeerTable;
import org.tanagerbank.routing.SharedRetryBudget.Permit;

/**
 * Instances that send requests of one service and retry those that fail, in simulated time. Uses no
 * network and no real time. Not thread-safe.
 *
 * <p>Retries arrive at the upstream after a connection is open, which takes up to the connect
 * timeout, and after the network. Instances find each other through a directory and digests.
 */
final class RetryFleetSimulation {
  static final double RATIO = 0.2;
  static final double SLACK = 50;
  static final long WINDOW_MILLIS = 10_000;
  private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final long MAX_NETWORK_MILLIS = 200;
  private static final long STEP_MILLIS = 10;
  private static final long DIGEST_MILLIS = 250;
  private static final int ATTEMPTS = 2;

  /** What happens at a time; later ones of the same time happen later. */
  private record Event(long atMillis, long number, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return atMillis != other.atMillis
          ? Long.compare(atMillis, other.atMillis)
          : Long.compare(number, other.number);
    }
  }

  private final class Instance {
    private final PeerAddress address;
    private final PeerTable table;
    private final RetryBudgets budgets = new RetryBudgets(settings);
    private boolean isRegistered;
    private boolean isAlive = true;
    private long digestNumber;

    private Instance(String id, boolean isFirstStart) {
      address = new PeerAddress(id, InetSocketAddress.createUnresolved(id, 1), nowMillis);
      table = new PeerTable(id);
      if (!isFirstStart) {
        budgets.recordRestart();
      }
    }

    private void register() {
      isRegistered = true;
      directory.stream().forEach(a -> table.add(a, nowMillis));
      directory.removeIf(a -> a.instanceId().equals(address.instanceId()));
      directory.add(address);
      reportFleet();
      budgets.recordDirectoryRead(nowMillis);
    }

    private void reportFleet() {
      budgets.setKnownInstances(
          table.known().stream().map(PeerAddress::instanceId).collect(toImmutableSet()), nowMillis);
    }

    private void tell() {
      table.markSilent(nowMillis);
      reportFleet();
      digestNumber++;
      long number = digestNumber;
      table.targets(nowMillis).stream()
          .filter(t -> isConnected(address.instanceId(), t.instanceId()))
          .forEach(t -> after(2, () -> receive(t.instanceId(), address, number)));
    }
  }

  private final DispatchSettings settings;
  private final SplittableRandom random;
  private final RetryRule rule = new RetryRule(RATIO, SLACK, WINDOW_MILLIS);
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final List<Instance> instances = new ArrayList<>();
  private final List<PeerAddress> directory = new ArrayList<>();
  private final Set<Set<String>> cuts = new HashSet<>();
  private long nowMillis = 1_000_000;
  private long eventNumber;
  private double requestsPerSecond;
  private double failureShare;
  private double slowConnectShare;
  private long directoryMillis = 50;
  private int deniedRetries;

  /** Creates a fleet that uses all that the rule allows. */
  RetryFleetSimulation(long seed, int instanceCount) {
    this(seed, instanceCount, /* ratioShare= */ 1, /* slackShare= */ 1);
  }

  /** Creates a fleet that uses the given shares of the ratio and of the slack. */
  RetryFleetSimulation(long seed, int instanceCount, double ratioShare, double slackShare) {
    settings =
        new DispatchSettings(
            "g", "z", 2, RATIO * ratioShare, WINDOW_MILLIS, SLACK * slackShare, /* startWait= */ 0);
    random = new SplittableRandom(seed);
    for (int i = 0; i < instanceCount; i++) {
      start(i, /* isFirstStart= */ true);
    }
  }

  RetryRule rule() {
    return rule;
  }

  int deniedRetries() {
    return deniedRetries;
  }

  int instanceCount() {
    return instances.size();
  }

  void setTraffic(double perSecond, double failures) {
    requestsPerSecond = perSecond;
    failureShare = failures;
  }

  /** Sets the share of retries that need a new connection which takes up to the timeout. */
  void setSlowConnectShare(double share) {
    slowConnectShare = share;
  }

  /** Sets the time that an instance which starts needs to read the others from the directory. */
  void setDirectoryMillis(long millis) {
    directoryMillis = millis;
  }

  /** Cuts two instances off from each other, or ends that. */
  void setCut(int a, int b, boolean isCut) {
    if (a == b) {
      return;
    }
    Set<String> pair = Set.of("g" + a, "g" + b);
    if (isCut) {
      cuts.add(pair);
    } else {
      cuts.remove(pair);
    }
  }

  private boolean isConnected(String a, String b) {
    return !cuts.contains(Set.of(a, b));
  }

  /** Kills an instance and starts it again without memory. */
  void restart(int index, boolean isFirstStart) {
    instances.get(index).isAlive = false;
    start(index, isFirstStart);
  }

  /** Adds an instance that was never there. */
  void add() {
    start(instances.size(), /* isFirstStart= */ false);
  }

  private void start(int index, boolean isFirstStart) {
    Instance started = new Instance("g" + index, isFirstStart);
    if (index < instances.size()) {
      instances.set(index, started);
    } else {
      instances.add(started);
    }
    after(1 + random.nextLong(directoryMillis), () -> ifAlive(started, started::register));
    after(random.nextLong(DIGEST_MILLIS), () -> tellRegularly(started));
  }

  private void tellRegularly(Instance instance) {
    if (instance.isAlive) {
      if (instance.isRegistered) {
        instance.tell();
      }
      after(DIGEST_MILLIS, () -> tellRegularly(instance));
    }
  }

  private static void ifAlive(Instance instance, Runnable action) {
    if (instance.isAlive) {
      action.run();
    }
  }

  private void receive(String to, PeerAddress from, long number) {
    instances.stream()
        .filter(i -> i.address.instanceId().equals(to))
        .filter(i -> i.table.recordDigest(from, number, nowMillis))
        .forEach(i -> i.budgets.recordHeard(from.instanceId(), nowMillis));
  }

  private void after(long millis, Runnable action) {
    events.add(new Event(nowMillis + millis, eventNumber++, action));
  }

  /** Lets time pass. */
  void advance(long millis) {
    for (long end = nowMillis + millis; nowMillis < end; ) {
      nowMillis += STEP_MILLIS;
      while (!events.isEmpty() && events.peek().atMillis() <= nowMillis) {
        events.poll().action().run();
      }
      double expected = requestsPerSecond * STEP_MILLIS / 1_000;
      long sent = (long) (expected + random.nextDouble());
      for (long i = 0; i < sent; i++) {
        sendRequest(instances.get(random.nextInt(instances.size())));
      }
    }
  }

  private void sendRequest(Instance instance) {
    rule.recordRequest(nowMillis);
    instance.budgets.recordRequest("s", nowMillis);
    after(10 + random.nextLong(40), () -> finishAttempt(instance, 1));
  }

  private void finishAttempt(Instance instance, int attempts) {
    boolean fails = random.nextDouble() < failureShare;
    if (!instance.isAlive || !fails || attempts >= ATTEMPTS) {
      return;
    }
    instance
        .budgets
        .tryAcquire("s", nowMillis)
        .ifPresentOrElse(permit -> connect(instance, permit, attempts), () -> deniedRetries++);
  }

  private void connect(Instance instance, Permit permit, int attempts) {
    boolean isSlow = random.nextDouble() < slowConnectShare;
    after(
        isSlow ? random.nextLong(CONNECT_TIMEOUT_MILLIS) : 0,
        () -> ifAlive(instance, () -> sendRetry(instance, permit, attempts)));
  }

  private void sendRetry(Instance instance, Permit permit, int attempts) {
    if (!instance.budgets.recordSent("s", permit, nowMillis)) {
      instance.budgets.release("s", permit);
      return;
    }
    after(
        random.nextLong(MAX_NETWORK_MILLIS),
        () -> {
          rule.recordRetry(nowMillis);
          finishAttempt(instance, attempts + 1);
        });
  }
}
