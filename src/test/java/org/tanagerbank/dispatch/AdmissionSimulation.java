package org.tanagerbank.dispatch;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.tanagerbank.admission.AdmissionDecision;
import org.tanagerbank.admission.AdmissionRequest;
import org.tanagerbank.admission.ServiceAdmission;
import org.tanagerbank.admission.SizeClass;
import org.tanagerbank.capacity.ServiceCapacity;
import org.tanagerbank.engine.Prompt;
import org.tanagerbank.engine.PromptPart;
import org.tanagerbank.route.EngineLimits;
import org.tanagerbank.upstream.ConnectionPool;
import org.tanagerbank.upstream.LoadReport;
import org.tanagerbank.upstream.UpstreamReport;
import org.tanagerbank.zone.Evacuations;

/**
 * Gateways before engines of one service, in simulated time and without network. Gateways know of
 * each other's requests with a delay, and engines differ from what the model predicts. Not
 * thread-safe.
 */
final class AdmissionSimulation {
  static final int ENGINES = 4;
  private static final int GATEWAYS = 5;
  private static final int SLOTS = 16;
  private static final int WORKSPACES = 8;
  private static final long TOLD_AFTER_MILLIS = 80;
  private static final long DIGEST_MILLIS = 250;

  /** A kind of requests: what it asks for, and how often it comes in ordinary load. */
  record Kind(
      String name,
      int priority,
      int tokens,
      double perSecond,
      long objectiveMillis,
      long timeoutMillis,
      long outputMillis) {}

  static final Kind TOOL = new Kind("tool", 0, 500, 16, 500, 4_000, 300);
  static final Kind CHAT = new Kind("chat", 1, 2_500, 13, 700, 6_000, 900);
  static final Kind BATCH = new Kind("batch", 2, 8_000, 4, 2_500, 12_000, 1_500);
  static final ImmutableList<Kind> KINDS = ImmutableList.of(TOOL, CHAT, BATCH);

  /** What differs from ordinary load between 10 and 30 s. */
  record Load(double batchFactor, double workspaceFactor, double allFactor, int repeats, int lost) {
    static final Load ORDINARY = new Load(1, 1, 1, 0, 0);
  }

  /** A request of a caller, with all that the caller sends again for it. */
  static final class Job {
    final Kind kind;
    final int workspace;
    final long atMillis;
    private final long identity;
    long firstMillis = -1;
    boolean isAnswered;
    int refusals;
    boolean isSent;

    private Job(Kind kind, int workspace, long atMillis, long identity) {
      this.kind = kind;
      this.workspace = workspace;
      this.atMillis = atMillis;
      this.identity = identity;
    }

    private long leftMillis(long now) {
      return atMillis + kind.timeoutMillis - now;
    }

    private Prompt prompt() {
      return new Prompt(
          "m", ImmutableList.of(new PromptPart(identity, kind.tokens)), kind.tokens, 50);
    }

    double value(double late) {
      return !isAnswered ? 0 : firstMillis <= kind.objectiveMillis ? 1 : late;
    }
  }

  private record Event(long atMillis, long order, Runnable action) {}

  private record Waiting(Job job, Runnable began, Runnable ended) {}

  /** An engine that reads one prompt at a time and runs as many requests as it has slots. */
  private final class Engine {
    private final List<Waiting> queue = new ArrayList<>();
    private final double slowness = 0.85 + 0.5 * random.nextDouble();
    private final List<Waiting> running = new ArrayList<>();
    private boolean isLost;
    private double prefillEnd;

    private void fill() {
      while (running.size() < SLOTS && !queue.isEmpty() && !isLost) {
        Waiting next = queue.remove(0);
        long left = next.job.leftMillis(now);
        if (left <= 0) {
          next.ended.run();
          continue;
        }
        running.add(next);
        double tokens = next.job.kind.tokens;
        double readMillis = tokens / 38.4 + tokens * tokens / 2 * 0.65e-6;
        prefillEnd = Math.max(prefillEnd, now) + slowness * readMillis;
        long firstIn = (long) (prefillEnd - now + 6);
        long output = (long) (next.job.kind.outputMillis * (0.5 + random.nextDouble()));
        later(Math.min(firstIn, left), () -> begin(next, firstIn < left));
        later(Math.min(firstIn + output, left), () -> end(next, firstIn + output < left));
      }
    }

    private void begin(Waiting run, boolean isInTime) {
      if (isInTime && !isLost) {
        run.job.firstMillis = now - run.job.atMillis;
        run.began.run();
      }
    }

    private void end(Waiting run, boolean isInTime) {
      if (!isLost) {
        running.remove(run);
        run.job.isAnswered |= isInTime;
        run.ended.run();
        fill();
      }
    }

    private void lose() {
      isLost = true;
      running.forEach(r -> r.ended.run());
      queue.forEach(r -> r.ended.run());
    }
  }

  private final SplittableRandom random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.atMillis != b.atMillis
                  ? Long.compare(a.atMillis, b.atMillis)
                  : Long.compare(a.order, b.order));
  private final List<Engine> engines = new ArrayList<>();
  private final List<List<UpstreamHandle>> views = new ArrayList<>();
  private final List<ServiceAdmission> admissions = new ArrayList<>();
  private final Load load;
  private final boolean admits;
  final List<Job> jobs = new ArrayList<>();
  final Map<AdmissionDecision.Verdict, Integer> verdicts = new HashMap<>();
  private long now;
  private long order;

  AdmissionSimulation(Load load, boolean admits, long seed) {
    this.random = new SplittableRandom(seed);
    this.load = load;
    this.admits = admits;
    IntStream.range(0, ENGINES).forEach(i -> engines.add(new Engine()));
    for (int g = 0; g < GATEWAYS; g++) {
      views.add(IntStream.range(0, ENGINES).mapToObj(this::handle).toList());
      admissions.add(new ServiceAdmission());
    }
  }

  private UpstreamHandle handle(int i) {
    InetSocketAddress address = InetSocketAddress.createUnresolved("engine", i + 1);
    UpstreamHandle handle =
        new UpstreamHandle(
            new UpstreamReport("e" + i, "s", "v", address, "z", SLOTS, false, 0, 1, 1),
            ConnectionPool.create((a, handlers) -> null, address, () -> now),
            new SendPermission(() -> now, () -> new SendRate(() -> 1, random)),
            new Evacuations(),
            new ColdState("e" + i, ColdTolerance.NONE, () -> 1, random),
            new ServiceCapacity(),
            now);
    handle.setEngineLimits(new EngineLimits(SLOTS, 300_000, OptionalDouble.empty()));
    return handle;
  }

  private void later(long delayMillis, Runnable action) {
    events.add(new Event(now + Math.max(0, delayMillis), order++, action));
  }

  private boolean isChanged() {
    return now >= 10_000 && now < 30_000;
  }

  /** Runs for 40 s and until all requests have ended. */
  AdmissionSimulation run() {
    KINDS.forEach(k -> IntStream.range(0, WORKSPACES).forEach(w -> arrive(k, w)));
    later(DIGEST_MILLIS, this::exchange);
    later(10_000, () -> engines.subList(0, load.lost).forEach(Engine::lose));
    while (!events.isEmpty()) {
      Event next = events.poll();
      now = next.atMillis;
      next.action.run();
    }
    return this;
  }

  private void arrive(Kind kind, int workspace) {
    double factor = isChanged() ? load.allFactor : 1;
    factor *= isChanged() && kind == BATCH ? load.batchFactor : 1;
    factor *= isChanged() && workspace == 0 ? load.workspaceFactor : 1;
    double mean = WORKSPACES * 1_000 / (kind.perSecond * factor);
    long delay = (long) (-Math.log(1 - random.nextDouble()) * mean);
    if (now + delay > 40_000) {
      return;
    }
    later(
        delay,
        () -> {
          Job job = new Job(kind, workspace, now, random.nextLong());
          jobs.add(job);
          send(job, /* isRetry= */ false);
          arrive(kind, workspace);
        });
  }

  private void send(Job job, boolean isRetry) {
    if ((job.isSent && !isRetry) || job.leftMillis(now) <= 0) {
      return;
    }
    int gateway = random.nextInt(GATEWAYS);
    List<UpstreamHandle> upstreams =
        views.get(gateway).stream().filter(u -> !engine(u).isLost).toList();
    Prompt prompt = job.prompt();
    UpstreamChoice choice =
        Placement.choose(
                upstreams,
                new PlacementRequest(
                    Optional.of(prompt), job.kind.objectiveMillis, "z", 2, upstreams, now, random))
            .get();
    if (admits && !isAdmitted(job, gateway, upstreams, choice, isRetry)) {
      return;
    }
    job.isSent = true;
    start(job, gateway, choice.upstream(), prompt);
  }

  private boolean isAdmitted(
      Job job, int gateway, List<UpstreamHandle> upstreams, UpstreamChoice choice, boolean begun) {
    ServiceAdmission admission = admissions.get(gateway);
    AdmissionRequest request =
        new AdmissionRequest(
            job.identity,
            now,
            job.kind.name,
            "w" + job.workspace,
            job.kind.priority,
            SizeClass.ofTokens(job.kind.tokens),
            job.kind.objectiveMillis,
            job.leftMillis(now),
            begun);
    AdmissionDecision decision =
        admission.decide(
            request,
            ServiceLoads.of(
                upstreams,
                upstreams,
                choice,
                Optional.of(job.prompt()),
                /* isStream= */ true,
                admission.requestMillis(),
                now),
            now,
            random);
    verdicts.merge(decision.verdict(), 1, Integer::sum);
    if (!decision.isSent()) {
      job.refusals++;
      comeBack(job, decision.retryAfterMillis());
    }
    return decision.isSent();
  }

  /** Sends a refused request again: at once several times, and when it may return. */
  private void comeBack(Job job, long afterMillis) {
    if (isChanged() && job.refusals <= load.repeats) {
      later(5, () -> send(job, /* isRetry= */ false));
    } else if (afterMillis <= job.leftMillis(now) / 3) {
      later(afterMillis, () -> send(job, /* isRetry= */ false));
    }
  }

  private Engine engine(UpstreamHandle handle) {
    return engines.get(handle.report().address().getPort() - 1);
  }

  private void start(Job job, int gateway, UpstreamHandle upstream, Prompt prompt) {
    Engine engine = engine(upstream);
    String id = "r" + job.identity;
    long sentAt = now;
    double shareAtSend = ServiceLoads.runningShare(upstream, now);
    upstream.requestStarted(now);
    upstream.engine().get().requestSent(id, prompt, 0, now);
    for (int g = 0; g < GATEWAYS; g++) {
      UpstreamHandle other = views.get(g).get(engines.indexOf(engine));
      if (g != gateway) {
        later(TOLD_AFTER_MILLIS, () -> other.engine().get().promptQueued(prompt, 0, now));
      }
    }
    Runnable began =
        () -> {
          upstream.engine().get().firstTokenReceived(id, now);
          upstream.updateLoad(
              new LoadReport(engine.running.size(), engine.queue.size(), SLOTS), now);
        };
    Runnable ended =
        () -> {
          upstream.requestEnded();
          upstream.engine().get().requestEnded(id);
          if (job.isAnswered) {
            double shareNow = ServiceLoads.runningShare(upstream, now);
            admissions.get(gateway).recordAnswered(now - sentAt, shareAtSend, shareNow);
          } else if (engine.isLost) {
            send(job, /* isRetry= */ true);
          }
        };
    engine.queue.add(new Waiting(job, began, ended));
    engine.fill();
  }

  /** Tells each gateway how many requests the others have in flight. */
  private void exchange() {
    for (int g = 0; g < GATEWAYS; g++) {
      for (int to = 0; to < GATEWAYS; to++) {
        for (int e = 0; e < ENGINES && to != g; e++) {
          views.get(to).get(e).setPeerInFlight("g" + g, views.get(g).get(e).ownInFlight());
        }
      }
    }
    if (now < 55_000) {
      later(DIGEST_MILLIS, this::exchange);
    }
  }
}
