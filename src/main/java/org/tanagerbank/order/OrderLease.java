package org.tanagerbank.order;

import static com.google.common.base.Preconditions.checkArgument;

import org.tanagerbank.backing.LogPage;
import org.tanagerbank.backing.LogRecord;
import org.tanagerbank.order.OrderRecord.Claim;
import org.tanagerbank.order.OrderRecord.Late;

/**
 * The right of one sidecar incarnation to give orders to its engine, decided from stream {@code
 * orders}.
 *
 * <p>The fencing number is the offset of the incarnation's own claim. A later claim of another
 * incarnation ends the right. A read that does not show such a claim proves that there was none
 * when the read began; for the lease time less the margin from then on, orders may be given. A new
 * holder waits for the lease time plus the margin after its claim. So at an engine that ignores
 * fencing numbers, every order of the predecessor has taken effect before the first of the
 * successor, provided that an order takes less than twice the margin from the check to its effect.
 * A process that was paused there for longer finds out afterwards, with {@link #isLate}, and
 * appends a {@link Late} record; on reading it the present holder repeats its orders.
 *
 * <p>Times are those of one monotonic clock. Incarnations of an upstream rise with each start. Not
 * thread-safe. Subclasses exist only in tests, which take out one rule each.
 */
public class OrderLease {
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final String upstream;
  private final long incarnation;
  private final LeaseSettings settings;
  private long position;
  private long fencing;
  private long firstOrderMillis;
  private long freshSinceMillis = NEVER;
  private long uncertainSinceMillis = NEVER;
  private boolean uncertain;
  private boolean superseded;
  private boolean repeat;

  /** Creates a lease that is not held. */
  public OrderLease(String upstream, long incarnation, LeaseSettings settings) {
    checkArgument(!upstream.isEmpty(), "upstream must not be empty");
    this.upstream = upstream;
    this.incarnation = incarnation;
    this.settings = settings;
  }

  /**
   * Takes in the offset after the last record of the stream, from which this lease reads. Called
   * before the first claim, and again when records expired before they were read: a claim of
   * another incarnation may have been among them, so the right ends.
   */
  public void begin(long end) {
    position = end;
    loseRight();
  }

  /** Returns the offset to read next; 0 before {@link #begin}. */
  public long position() {
    return position;
  }

  /** Returns the claim to append. */
  public Claim claim() {
    return new Claim(upstream, incarnation);
  }

  /** Takes in that the claim was appended. */
  public void appended(long offset, long nowMillis) {
    uncertain = false;
    hold(offset, nowMillis);
  }

  /** Takes in that the answer to an append was lost; a read tells whether it took effect. */
  public void appendUnanswered(long nowMillis) {
    uncertain = true;
    uncertainSinceMillis = nowMillis;
  }

  private void hold(long offset, long nowMillis) {
    if (offset > fencing && offset >= position - 1) {
      fencing = offset;
      firstOrderMillis = nowMillis + waitMillis();
      freshSinceMillis = NEVER;
    }
  }

  /**
   * Takes in a page that was read from {@link #position}.
   *
   * @param startedMillis when the read was sent
   * @param nowMillis when the answer was received
   */
  public void read(LogPage page, long startedMillis, long nowMillis) {
    for (LogRecord record : page.records()) {
      if (record.offset() == position) {
        position++;
        take(record, nowMillis);
      }
    }
    if (position == page.next() && page.records().isEmpty()) {
      freshSinceMillis = Math.max(freshSinceMillis, provenAt(startedMillis, nowMillis));
      if (startedMillis >= uncertainSinceMillis) {
        uncertain = false;
      }
    }
  }

  private void take(LogRecord record, long nowMillis) {
    OrderRecord content = OrderRecord.decode(record.data());
    if (content instanceof OrderRecord.Unsupported) {
      superseded = true;
    } else if (content instanceof Claim claim && claim.upstream().equals(upstream)) {
      if (claim.incarnation() == incarnation) {
        hold(record.offset(), nowMillis);
      } else {
        superseded |= Long.compareUnsigned(claim.incarnation(), incarnation) > 0;
        if (endsRight(record.offset())) {
          loseRight();
        }
      }
    } else if (content instanceof Late late && late.upstream().equals(upstream)) {
      repeat |= late.fencing() != fencing;
    }
  }

  private void loseRight() {
    fencing = 0;
    freshSinceMillis = NEVER;
  }

  /**
   * Says what to do about an order. Must be called right before each order is sent, after every
   * wait.
   */
  public OrderCheck check(long nowMillis) {
    if (superseded) {
      return new OrderCheck.Superseded();
    }
    if (fencing == 0) {
      return uncertain ? new OrderCheck.Read() : new OrderCheck.Append();
    }
    if (nowMillis < firstOrderMillis) {
      return new OrderCheck.Wait(firstOrderMillis);
    }
    long graceMillis = 2 * settings.marginMillis();
    return isFresh(nowMillis)
        ? new OrderCheck.Grant(fencing, nowMillis + graceMillis)
        : new OrderCheck.Read();
  }

  /**
   * Returns whether an order may have taken effect after the right to give it ended, in which case
   * a {@link Late} record has to be appended.
   *
   * @param answeredMillis when the engine answered; {@link Long#MAX_VALUE} when it did not
   */
  public static boolean isLate(OrderCheck.Grant grant, long answeredMillis) {
    return answeredMillis >= grant.effectBeforeMillis();
  }

  /** Returns the record that reports a late order. */
  public Late late(OrderCheck.Grant grant) {
    return new Late(upstream, grant.fencing());
  }

  /** Returns once, after another holder's late order, that all orders have to be repeated. */
  public boolean takeRepeat() {
    boolean wanted = repeat;
    repeat = false;
    return wanted;
  }

  boolean endsRight(long offset) {
    return offset > fencing;
  }

  boolean isFresh(long nowMillis) {
    return nowMillis < freshSinceMillis + settings.leaseMillis() - settings.marginMillis();
  }

  long waitMillis() {
    return settings.leaseMillis() + settings.marginMillis();
  }

  /** The log answered some time between the two; only the earlier time is certain. */
  long provenAt(long startedMillis, long receivedMillis) {
    return startedMillis;
  }
}
