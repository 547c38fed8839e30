package org.tanagerbank.capacity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;

/**
 * Gateways that send requests to plain upstreams, in simulated time and without a network. The
 * gateways know of each other's requests by digests and of the upstreams by response headers, both
 * as late as in a deployment.
 */
final class CapacitySimulation {
  static final int SLOTS = 6;
  private static final double OBJECTIVE_MILLIS = 150;
  private static final long DIGEST_MILLIS = 210;
  private static final long NOISE_MILLIS = 600;
  private static final long REPORT_VALID_MILLIS = 300;

  /** How gateways choose the upstream of a request. */
  enum Policy {
    /** Requests over slots, as without learning. */
    FIXED,
    LEARNED,
    /** Knows the work at each upstream and its speed at every moment. */
    ORACLE
  }

  /** One upstream, whose properties the scenario changes. */
  static final class Server {
    double slowdown = 1;
    double noiseShare;
    boolean tellsSpeed;
    boolean slowsFromHalf;
    boolean isDown;
    private double noise = 1;
    private int inFlight;
    private int running;
    private int generation;
    private final ArrayDeque<Runnable> queue = new ArrayDeque<>();

    private double factor(int requests) {
      double knee = slowsFromHalf ? Math.max(1, requests / (SLOTS / 2.0)) : 1;
      return slowdown * noise * knee;
    }

    private double expected() {
      int requests = inFlight + 1;
      return factor(Math.min(SLOTS, requests)) * Math.max(1, (double) requests / SLOTS);
    }
  }

  private final class Gateway {
    private ServiceCapacity service = new ServiceCapacity();
    private final List<ProcessCapacity> capacities = new ArrayList<>();
    private final int[] own = new int[servers.size()];
    private final int[][] peers = new int[gatewayCount][servers.size()];
    private final int[] reported = new int[servers.size()];
    private final double[] reportedAt = new double[servers.size()];

    private Gateway() {
      IntStream.range(0, servers.size()).forEach(i -> capacities.add(service.add(i, SLOTS)));
    }

    private int fleetInFlight(int server) {
      int others = 0;
      for (int[] peer : peers) {
        others += peer[server];
      }
      boolean isFresh = now - reportedAt[server] < REPORT_VALID_MILLIS;
      return own[server] + (isFresh ? Math.max(others, reported[server]) : others);
    }

    private double cost(int server, boolean byTime) {
      if (policy == Policy.ORACLE) {
        return servers.get(server).expected() + servers.get(server).inFlight * 1e-3;
      }
      return byTime
          ? capacities.get(server).cost(fleetInFlight(server), (long) now, random)
          : (double) fleetInFlight(server) / SLOTS;
    }

    private int choose() {
      boolean byTime = policy == Policy.LEARNED && service.differs((long) now);
      int best = -1;
      double bestCost = Double.MAX_VALUE;
      for (int i = 0; i < servers.size(); i++) {
        double cost = servers.get(i).isDown ? Double.MAX_VALUE : cost(i, byTime);
        if (cost < bestCost) {
          best = i;
          bestCost = cost;
        }
      }
      learnedChoices += byTime ? 1 : 0;
      return best;
    }

    private void sendDigest(int self) {
      for (Gateway other : gateways) {
        if (other != this) {
          other.peers[self] = own.clone();
        }
      }
      for (int i = 0; i < servers.size(); i++) {
        if (capacities.get(i).hasNews()) {
          CapacityNews news = capacities.get(i).takeNews((long) now);
          for (Gateway other : gateways) {
            if (other != this) {
              other.capacities.get(i).merge(news, (long) now);
            }
          }
        }
      }
    }
  }

  private record Event(double atMillis, long number, Runnable action) {}

  private final Policy policy;
  private final int gatewayCount;
  private final double requestsPerSecond;
  private final double meanWorkMillis;
  private final SplittableRandom random;
  private final SplittableRandom workRandom;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingDouble(Event::atMillis).thenComparing(Event::number));
  private final List<Gateway> gateways = new ArrayList<>();
  private long eventNumber;
  private long learnedChoices;
  final List<Server> servers = new ArrayList<>();
  double now;

  /** The answers in time and the requests, by the second in which the requests were sent. */
  final int[] inTime = new int[200];

  final int[] requests = new int[200];

  /** The requests sent to each server, by second. */
  final int[][] sent;

  CapacitySimulation(
      Policy policy,
      int gatewayCount,
      int serverCount,
      double requestsPerSecond,
      double meanWorkMillis,
      long seed) {
    this.policy = policy;
    this.gatewayCount = gatewayCount;
    this.requestsPerSecond = requestsPerSecond;
    this.meanWorkMillis = meanWorkMillis;
    this.random = new SplittableRandom(seed);
    this.workRandom = new SplittableRandom(seed + 1);
    this.sent = new int[200][serverCount];
    IntStream.range(0, serverCount).forEach(i -> servers.add(new Server()));
    IntStream.range(0, gatewayCount).forEach(i -> gateways.add(new Gateway()));
  }

  void at(double millis, Runnable action) {
    events.add(new Event(millis, eventNumber++, action));
  }

  /** Ends the process of a server; its requests fail. */
  void crash(int index) {
    Server server = servers.get(index);
    server.isDown = true;
    server.generation++;
    server.inFlight = 0;
    server.running = 0;
    server.queue.clear();
    for (Gateway gateway : gateways) {
      gateway.own[index] = 0;
      gateway.capacities.get(index).close();
      gateway.capacities.set(index, gateway.service.add(index + 100, SLOTS));
    }
  }

  /** Restarts a gateway, which knows nothing until it is told. */
  void restartGateway(int index) {
    Gateway gateway = gateways.get(index);
    List<ProcessCapacity> told = gateways.get((index + 1) % gatewayCount).capacities;
    gateway.service = new ServiceCapacity();
    for (int i = 0; i < servers.size(); i++) {
      ProcessCapacity started = gateway.service.add(i, SLOTS);
      told.get(i).estimateNews((long) now).ifPresent(e -> started.merge(e, (long) now));
      gateway.capacities.set(i, started);
    }
  }

  double relativeTime(int gateway, int server) {
    return gateways.get(gateway).capacities.get(server).relativeTime((long) now);
  }

  long learnedChoices() {
    return learnedChoices;
  }

  void run(double endMillis, BiConsumer<CapacitySimulation, Integer> eachSecond) {
    at(0, this::arrive);
    at(0, this::redrawNoise);
    for (int i = 0; i < gatewayCount; i++) {
      int index = i;
      at(random.nextDouble(DIGEST_MILLIS), () -> digest(index));
    }
    for (int s = 1; s < endMillis / 1_000; s++) {
      int second = s;
      at(s * 1_000, () -> eachSecond.accept(this, second));
    }
    while (events.peek().atMillis() < endMillis) {
      Event event = events.poll();
      now = event.atMillis();
      event.action().run();
    }
  }

  private void digest(int index) {
    gateways.get(index).sendDigest(index);
    at(now + DIGEST_MILLIS, () -> digest(index));
  }

  private void redrawNoise() {
    for (Server server : servers) {
      server.noise = workRandom.nextDouble() < server.noiseShare ? 2.5 : 1;
    }
    at(now + NOISE_MILLIS, this::redrawNoise);
  }

  /** Returns the work of a request, with a long tail. */
  private double drawWork() {
    double tail = workRandom.nextDouble() < 0.02 ? 3 : 1;
    double sigma = 0.4;
    return meanWorkMillis
        / 1.04
        * tail
        * Math.exp(sigma * workRandom.nextGaussian() - sigma * sigma / 2);
  }

  private void arrive() {
    at(now - Math.log(1 - workRandom.nextDouble()) * 1_000 / requestsPerSecond, this::arrive);
    double work = drawWork();
    Gateway gateway = gateways.get(workRandom.nextInt(gatewayCount));
    int second = (int) (now / 1_000);
    requests[second]++;
    int chosen = gateway.choose();
    sent[second][chosen]++;
    Server server = servers.get(chosen);
    server.inFlight++;
    int seen = gateway.fleetInFlight(chosen) + 1;
    gateway.own[chosen]++;
    double sentAt = now;
    Runnable start = () -> serve(server, work, () -> answered(gateway, chosen, seen, sentAt));
    if (server.running < SLOTS) {
      start.run();
    } else {
      server.queue.add(start);
    }
  }

  private void serve(Server server, double work, Runnable done) {
    server.running++;
    int generation = server.generation;
    at(
        now + work * server.factor(server.running),
        () -> {
          if (generation == server.generation) {
            server.running--;
            server.inFlight--;
            done.run();
            if (!server.queue.isEmpty()) {
              server.queue.poll().run();
            }
          }
        });
  }

  private void answered(Gateway gateway, int index, int seen, double sentAt) {
    Server server = servers.get(index);
    gateway.own[index]--;
    gateway.reported[index] = Math.max(0, server.inFlight - gateway.own[index]);
    gateway.reportedAt[index] = now;
    ProcessCapacity capacity = gateway.capacities.get(index);
    if (server.tellsSpeed) {
      capacity.recordWorkPercent((int) Math.round(100 * server.noise), (long) now);
    }
    capacity.responded((seen + server.inFlight + 2) / 2, now - sentAt, (long) now);
    if (now - sentAt <= OBJECTIVE_MILLIS) {
      inTime[(int) (sentAt / 1_000)]++;
    }
  }
}
