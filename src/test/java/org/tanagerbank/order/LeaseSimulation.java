package org.tanagerbank.order;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import org.tanagerbank.configreplica.InMemoryLog;
import org.tanagerbank.platformclient.LogPage;

/**
 * Simulates several sidecar incarnations of one engine in simulated time.
 *
 * <p>Each call of an incarnation takes three steps: it is sent, takes effect, and is answered. Any
 * amount of time may pass between two steps, as if the process or the network had paused. Not
 * thread-safe.
 */
final class LeaseSimulation {
  static final int MAX_PROCESSES = 4;

  /** Creates the lease under test. */
  interface Factory {
    OrderLease create(String upstream, long incarnation);
  }

  /** The call that a process is waiting for. */
  private enum Call {
    NONE,
    APPEND,
    READ,
    ORDER
  }

  /** The state of one sidecar incarnation. */
  private static final class Process {
    private final OrderLease lease;
    private Call call = Call.NONE;
    private boolean tookEffect;
    private long sentMillis;
    private long offset;
    private LogPage page;
    private OrderDecision.Grant grant;
    private boolean lateOrderRecordDue;
    private long lastOrderFencing;
    private boolean hasPendingOrder;
    private boolean paused;

    Process(OrderLease lease) {
      this.lease = lease;
    }
  }

  private final Factory factory;
  private final boolean checksFencing;
  private final boolean boundsOrderTime;
  private final InMemoryLog log = new InMemoryLog();
  private final List<Process> processes = new ArrayList<>();
  private final List<Long> effectFencing = new ArrayList<>();
  private long now = 1;
  private boolean loseNextAnswer;

  /**
   * Creates a simulation without processes.
   *
   * @param checksFencing whether the engine rejects orders with an outdated fencing number
   * @param boundsOrderTime whether each order takes effect before the time limit of its grant
   */
  LeaseSimulation(Factory factory, boolean checksFencing, boolean boundsOrderTime) {
    this.factory = factory;
    this.checksFencing = checksFencing;
    this.boundsOrderTime = boundsOrderTime;
  }

  /** Returns the fencing numbers of the orders, in the order in which they took effect. */
  List<Long> effectFencing() {
    return effectFencing;
  }

  /**
   * Runs one step, which a number selects. Most steps continue the call of a process; others let
   * time pass, lose the answer to the next append, start a process, or pause or resume one.
   */
  void runStep(int choice) {
    int kind = choice % 16;
    int size = choice / 16;
    if (kind == 0 && size % 3 == 0 && processes.size() < MAX_PROCESSES) {
      processes.add(new Process(factory.create("e", processes.size() + 1L)));
    } else if (kind == 1) {
      loseNextAnswer = true;
    } else if (kind < 4) {
      // Most of these steps are short, so that leases are used and not only lost.
      advance(size % 4 == 0 ? 1_000L * (size / 4 % 8) : 100L * (size % 8));
    } else if (!processes.isEmpty()) {
      Process process = processes.get(size % processes.size());
      process.paused ^= kind == 4;
      process.hasPendingOrder |= kind < 10;
      if (!process.paused) {
        continueCall(process);
      }
    }
  }

  private void advance(long millis) {
    long targetMillis = now + millis;
    if (boundsOrderTime) {
      processes.stream()
          .filter(
              p ->
                  p.call == Call.ORDER
                      && !p.tookEffect
                      && p.grant.effectBeforeMillis() <= targetMillis)
          .forEach(
              p -> {
                now = Math.max(now, p.grant.effectBeforeMillis() - 1);
                takeEffect(p);
              });
    }
    now = targetMillis;
  }

  private void continueCall(Process process) {
    if (process.call == Call.NONE) {
      sendNextCall(process);
    } else if (!process.tookEffect) {
      takeEffect(process);
    } else {
      receiveAnswer(process);
    }
  }

  private void sendNextCall(Process process) {
    OrderLease lease = process.lease;
    if (lease.position() == 0) {
      lease.startReadingAt(log.read(OrderRecord.STREAM, 1L << 60, 1, 0).nextOffset());
      return;
    }
    if (process.lateOrderRecordDue) {
      log.append(OrderRecord.STREAM, OrderRecord.encode(lease.newLateOrder(process.grant)));
      process.lateOrderRecordDue = false;
      return;
    }
    OrderDecision check = lease.check(now);
    process.sentMillis = now;
    process.tookEffect = false;
    if (check instanceof OrderDecision.AppendClaim) {
      process.call = Call.APPEND;
    } else if (check instanceof OrderDecision.ReadStream || check instanceof OrderDecision.Wait) {
      process.call = Call.READ;
    } else if (check instanceof OrderDecision.Grant grant) {
      boolean mustRepeat =
          lease.consumeRepeatRequest() || grant.fencing() != process.lastOrderFencing;
      process.hasPendingOrder |= mustRepeat;
      process.call = process.hasPendingOrder ? Call.ORDER : Call.READ;
      process.grant = process.hasPendingOrder ? grant : process.grant;
      process.lastOrderFencing = grant.fencing();
      process.hasPendingOrder = false;
    }
  }

  private void takeEffect(Process process) {
    process.tookEffect = true;
    switch (process.call) {
      case APPEND ->
          process.offset =
              log.append(OrderRecord.STREAM, OrderRecord.encode(process.lease.newClaim()));
      case READ -> process.page = log.read(OrderRecord.STREAM, process.lease.position(), 3, 0);
      default -> {
        long fencing = process.grant.fencing();
        if (!checksFencing || effectFencing.stream().allMatch(e -> e <= fencing)) {
          effectFencing.add(fencing);
        }
      }
    }
  }

  private void receiveAnswer(Process process) {
    switch (process.call) {
      case APPEND -> {
        if (loseNextAnswer) {
          process.lease.claimAppendUnanswered(now);
          loseNextAnswer = false;
        } else {
          process.lease.claimAppended(process.offset, now);
        }
      }
      case READ -> process.lease.processPage(process.page, process.sentMillis, now);
      default -> process.lateOrderRecordDue = OrderLease.isLate(process.grant, now);
    }
    process.call = Call.NONE;
  }

  /** Asserts that no order of an older holder took effect after one of a newer holder. */
  void checkEffectOrder() {
    assertWithMessage("fencing numbers of the orders, in the order in which they took effect")
        .that(effectFencing)
        .isInOrder();
  }

  /**
   * Runs all processes without faults and without new orders, and asserts that the order that took
   * effect last is one of the newest holder.
   */
  void runToConvergence() {
    if (processes.isEmpty()) {
      return;
    }
    processes.forEach(p -> p.hasPendingOrder = false);
    for (int round = 0; round < 400; round++) {
      processes.forEach(this::continueCall);
      advance(100);
    }
    Process newest = processes.get(processes.size() - 1);
    assertThat(newest.lease.check(now)).isNotInstanceOf(OrderDecision.Superseded.class);
    assertThat(effectFencing.get(effectFencing.size() - 1))
        .isEqualTo(effectFencing.stream().max(Long::compare).get());
  }
}
