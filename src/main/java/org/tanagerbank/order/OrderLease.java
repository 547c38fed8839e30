package org.tanagerbank.order;

import static com.google.common.base.Preconditions.checkArgument;

import org.tanagerbank.order.OrderRecord.Claim;
import org.tanagerbank.order.OrderRecord.LateOrder;
import org.tanagerbank.platformclient.LogPage;
import org.tanagerbank.platformclient.LogRecord;

/**
 * The lease under which one sidecar incarnation sends orders to its engine. An order is a command
 * to the engine. The lease is derived from the records of log stream {@code orders}.
 *
 * <p>The fencing number is the offset of the incarnation's own claim. A later claim of another
 * incarnation ends the lease. A read that reaches the end of the stream without such a claim proves
 * that there was none when the read was sent; from that time the holder may send orders for the
 * lease time minus the margin. A new holder waits for the lease time plus the margin after its
 * claim. Therefore, even at an engine that ignores fencing numbers, every order of the predecessor
 * takes effect before the first order of the successor, provided that an order takes less than
 * twice the margin from the check to its effect. A process that was paused for longer in this
 * interval detects this afterwards with {@link #isLate} and appends a {@link LateOrder} record.
 * When the current holder reads that record, it repeats its orders.
 *
 * <p>All times are in milliseconds of one monotonic clock. The incarnation numbers of an upstream
 * increase with each start. Not thread-safe. Only tests extend this class; each subclass disables
 * one rule.
 */
public class OrderLease {
  /** A time before any other, from which a duration can be added or subtracted without overflow. */
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final String upstream;
  private final long incarnation;
  private final LeaseSettings settings;
  private long position;
  private long fencing;
  private long firstOrderMillis;
  private long provenSinceMillis = NEVER;
  private long claimUncertainSinceMillis = NEVER;
  private boolean claimUncertain;
  private boolean superseded;
  private boolean repeatRequested;

  /**
   * Creates a lease that is not held.
   *
   * @param upstream the id of the upstream whose engine receives the orders
   * @param incarnation the incarnation of its sidecar, compared as an unsigned number
   */
  public OrderLease(String upstream, long incarnation, LeaseSettings settings) {
    checkArgument(!upstream.isEmpty(), "upstream must not be empty");
    this.upstream = upstream;
    this.incarnation = incarnation;
    this.settings = settings;
  }

  /**
   * Sets the offset from which this lease reads, which must be the one after the last record of the
   * stream. Must be called before the first claim, and again when records expired before they were
   * read. The lease is lost then, because a claim of another incarnation may have been among them.
   */
  public void startReadingAt(long endOffset) {
    position = endOffset;
    loseLease();
  }

  /** Returns the offset to read next; 0 before {@link #startReadingAt}. */
  public long position() {
    return position;
  }

  /** Returns the claim to append. */
  public Claim newClaim() {
    return new Claim(upstream, incarnation);
  }

  /** Records that the claim was appended at an offset. */
  public void claimAppended(long offset, long nowMillis) {
    claimUncertain = false;
    acquire(offset, nowMillis);
  }

  /**
   * Records that the answer to the append of a claim was lost. A later read shows whether the claim
   * was appended.
   */
  public void claimAppendUnanswered(long nowMillis) {
    claimUncertain = true;
    claimUncertainSinceMillis = nowMillis;
  }

  private void acquire(long offset, long nowMillis) {
    if (offset > fencing && offset >= position - 1) {
      fencing = offset;
      firstOrderMillis = nowMillis + takeoverWaitMillis();
      provenSinceMillis = NEVER;
    }
  }

  /**
   * Processes a page that was read from {@link #position}.
   *
   * @param startedMillis the time when the read was sent
   * @param nowMillis the time when the answer was received
   */
  public void processPage(LogPage page, long startedMillis, long nowMillis) {
    for (LogRecord record : page.records()) {
      if (record.offset() == position) {
        position++;
        processRecord(record, nowMillis);
      }
    }
    if (position == page.nextOffset() && page.records().isEmpty()) {
      provenSinceMillis = Math.max(provenSinceMillis, provenAtMillis(startedMillis, nowMillis));
      if (startedMillis >= claimUncertainSinceMillis) {
        claimUncertain = false;
      }
    }
  }

  private void processRecord(LogRecord record, long nowMillis) {
    OrderRecord content = OrderRecord.decode(record.data());
    if (content instanceof OrderRecord.Unsupported) {
      superseded = true;
    } else if (content instanceof Claim claim && claim.upstream().equals(upstream)) {
      if (claim.incarnation() == incarnation) {
        acquire(record.offset(), nowMillis);
      } else {
        superseded |= Long.compareUnsigned(claim.incarnation(), incarnation) > 0;
        if (endsLease(record.offset())) {
          loseLease();
        }
      }
    } else if (content instanceof LateOrder late && late.upstream().equals(upstream)) {
      repeatRequested |= late.fencing() != fencing;
    }
  }

  private void loseLease() {
    fencing = 0;
    provenSinceMillis = NEVER;
  }

  /**
   * Decides whether an order may be sent now. Must be called immediately before each order is sent,
   * after any wait.
   */
  public OrderDecision check(long nowMillis) {
    if (superseded) {
      return new OrderDecision.Superseded();
    }
    if (fencing == 0) {
      return claimUncertain ? new OrderDecision.ReadStream() : new OrderDecision.AppendClaim();
    }
    if (nowMillis < firstOrderMillis) {
      return new OrderDecision.Wait(firstOrderMillis);
    }
    long graceMillis = 2 * settings.marginMillis();
    return isLeaseValid(nowMillis)
        ? new OrderDecision.Grant(fencing, nowMillis + graceMillis)
        : new OrderDecision.ReadStream();
  }

  /**
   * Returns whether an order may have taken effect after the lease ended. A {@link LateOrder}
   * record must be appended in that case.
   *
   * @param answeredMillis the time when the engine answered; {@link Long#MAX_VALUE} if it did not
   */
  public static boolean isLate(OrderDecision.Grant grant, long answeredMillis) {
    return answeredMillis >= grant.effectBeforeMillis();
  }

  /** Returns the record to append for a late order. */
  public LateOrder newLateOrder(OrderDecision.Grant grant) {
    return new LateOrder(upstream, grant.fencing());
  }

  /**
   * Returns whether a late order of another holder was reported since the last call, so that all
   * orders must be repeated.
   */
  public boolean consumeRepeatRequest() {
    boolean requested = repeatRequested;
    repeatRequested = false;
    return requested;
  }

  /** Returns whether a claim of another incarnation at an offset ends this lease. */
  boolean endsLease(long offset) {
    return offset > fencing;
  }

  /** Returns whether the last proof that no other claim exists is recent enough. */
  boolean isLeaseValid(long nowMillis) {
    return nowMillis < provenSinceMillis + settings.leaseMillis() - settings.marginMillis();
  }

  /** Returns how long a new holder waits after its claim before its first order. */
  long takeoverWaitMillis() {
    return settings.leaseMillis() + settings.marginMillis();
  }

  /**
   * Returns the time at which a read proves that there was no other claim. The log produced its
   * answer at some time between the two, so only the earlier time is certain.
   */
  long provenAtMillis(long startedMillis, long receivedMillis) {
    return startedMillis;
  }
}
