package org.tanagerbank.order;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import org.tanagerbank.adoption.InMemoryLog;
import org.tanagerbank.backing.LogPage;

/**
 * Sidecar incarnations of one engine in simulated time. Each call of an incarnation takes three
 * steps (sent, took effect, answered), and any time may pass between two steps.
 */
final class LeaseWorld {
  static final int PROCESSES = 4;

  /** Makes the lease under test. */
  interface Factory {
    OrderLease create(String upstream, long incarnation);
  }

  /** The call that a process has under way. */
  private enum Call {
    NONE,
    APPEND,
    READ,
    ORDER
  }

  /** One incarnation. */
  private static final class Process {
    private final OrderLease lease;
    private Call call = Call.NONE;
    private boolean took;
    private long sentMillis;
    private long offset;
    private LogPage page;
    private OrderCheck.Grant grant;
    private boolean lateNoticeDue;
    private long orderedAs;
    private boolean hasOrder;
    private boolean paused;

    Process(OrderLease lease) {
      this.lease = lease;
    }
  }

  private final Factory factory;
  private final boolean checksFencing;
  private final boolean boundedOrders;
  private final InMemoryLog log = new InMemoryLog();
  private final List<Process> processes = new ArrayList<>();
  private final List<Long> effects = new ArrayList<>();
  private long now = 1;
  private boolean loseNext;

  LeaseWorld(Factory factory, boolean checksFencing, boolean boundedOrders) {
    this.factory = factory;
    this.checksFencing = checksFencing;
    this.boundedOrders = boundedOrders;
  }

  List<Long> effects() {
    return effects;
  }

  /** Runs one step: most let a process go on, others let time pass or start a process. */
  void run(int choice) {
    int kind = choice % 16;
    int size = choice / 16;
    if (kind == 0 && size % 3 == 0 && processes.size() < PROCESSES) {
      processes.add(new Process(factory.create("e", processes.size() + 1L)));
    } else if (kind == 1) {
      loseNext = true;
    } else if (kind < 4) {
      // Mostly short steps, so that leases are used as well as lost.
      pass(size % 4 == 0 ? 1_000L * (size / 4 % 8) : 100L * (size % 8));
    } else if (!processes.isEmpty()) {
      Process process = processes.get(size % processes.size());
      process.paused ^= kind == 4;
      process.hasOrder |= kind < 10;
      if (!process.paused) {
        step(process);
      }
    }
  }

  private void pass(long millis) {
    long target = now + millis;
    if (boundedOrders) {
      processes.stream()
          .filter(p -> p.call == Call.ORDER && !p.took && p.grant.effectBeforeMillis() <= target)
          .forEach(
              p -> {
                now = Math.max(now, p.grant.effectBeforeMillis() - 1);
                takeEffect(p);
              });
    }
    now = target;
  }

  private void step(Process process) {
    if (process.call == Call.NONE) {
      send(process);
    } else if (!process.took) {
      takeEffect(process);
    } else {
      answer(process);
    }
  }

  private void send(Process process) {
    OrderLease lease = process.lease;
    if (lease.position() == 0) {
      lease.begin(log.read(OrderRecord.STREAM, 1L << 60, 1, 0).next());
      return;
    }
    if (process.lateNoticeDue) {
      log.append(OrderRecord.STREAM, OrderRecord.encode(lease.late(process.grant)));
      process.lateNoticeDue = false;
      return;
    }
    OrderCheck check = lease.check(now);
    process.sentMillis = now;
    process.took = false;
    if (check instanceof OrderCheck.Append) {
      process.call = Call.APPEND;
    } else if (check instanceof OrderCheck.Read || check instanceof OrderCheck.Wait) {
      process.call = Call.READ;
    } else if (check instanceof OrderCheck.Grant grant) {
      boolean repeat = lease.takeRepeat() || grant.fencing() != process.orderedAs;
      process.hasOrder |= repeat;
      process.call = process.hasOrder ? Call.ORDER : Call.READ;
      process.grant = process.hasOrder ? grant : process.grant;
      process.orderedAs = grant.fencing();
      process.hasOrder = false;
    }
  }

  private void takeEffect(Process process) {
    process.took = true;
    switch (process.call) {
      case APPEND ->
          process.offset =
              log.append(OrderRecord.STREAM, OrderRecord.encode(process.lease.claim()));
      case READ -> process.page = log.read(OrderRecord.STREAM, process.lease.position(), 3, 0);
      default -> {
        long fencing = process.grant.fencing();
        if (!checksFencing || effects.stream().allMatch(e -> e <= fencing)) {
          effects.add(fencing);
        }
      }
    }
  }

  private void answer(Process process) {
    switch (process.call) {
      case APPEND -> {
        if (loseNext) {
          process.lease.appendUnanswered(now);
          loseNext = false;
        } else {
          process.lease.appended(process.offset, now);
        }
      }
      case READ -> process.lease.read(process.page, process.sentMillis, now);
      default -> process.lateNoticeDue = OrderLease.isLate(process.grant, now);
    }
    process.call = Call.NONE;
  }

  /** Requires that no order of an older holder took effect after one of a newer holder. */
  void checkOrder() {
    assertWithMessage("fencing numbers in order of effect").that(effects).isInOrder();
  }

  /**
   * Lets all processes go on without faults and without orders of their own accord, and requires
   * that the last order to take effect is one of the newest holder.
   */
  void settle() {
    if (processes.isEmpty()) {
      return;
    }
    processes.forEach(p -> p.hasOrder = false);
    for (int round = 0; round < 400; round++) {
      processes.forEach(this::step);
      pass(100);
    }
    Process newest = processes.get(processes.size() - 1);
    assertThat(newest.lease.check(now)).isNotInstanceOf(OrderCheck.Superseded.class);
    assertThat(effects.get(effects.size() - 1))
        .isEqualTo(effects.stream().max(Long::compare).get());
  }
}
