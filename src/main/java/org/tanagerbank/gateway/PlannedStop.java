package org.tanagerbank.gateway;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.tanagerbank.caller.CallerServer;
import org.tanagerbank.dispatch.Dispatcher;

/**
 * Carries out a {@link DrainPlan}. What is still in flight at its end is answered with what is
 * known of it, so that no caller is left without an answer. Confined to the thread that calls
 * {@link #run}; what it stops is confined to the event loop.
 */
final class PlannedStop {
  /** The time, in milliseconds, for which the last responses may be sent after the deadline. */
  private static final long LAST_RESPONSES_MILLIS = 300;

  private static final long LAST_CHECK_INTERVAL_MILLIS = 10;

  private final DrainPlan plan;
  private final EventLoop loop;
  private final LongSupplier clockMillis;
  private final CallerServer callerServer;
  private final Dispatcher dispatcher;

  PlannedStop(
      DrainPlan plan,
      EventLoop loop,
      LongSupplier clockMillis,
      CallerServer callerServer,
      Dispatcher dispatcher) {
    this.plan = plan;
    this.loop = loop;
    this.clockMillis = clockMillis;
    this.callerServer = callerServer;
    this.dispatcher = dispatcher;
  }

  /**
   * Stops accepting new work and returns when no request is left.
   *
   * @throws InterruptedException if interrupted while waiting
   */
  void run() throws InterruptedException {
    loop.execute(callerServer::beginDrain);
    loop.execute(
        () ->
            dispatcher.setAdmissionCheck(
                maxDuration -> plan.acceptsRequest(clockMillis.getAsLong(), maxDuration)));
    while (!plan.isPastDeadline(clockMillis.getAsLong())) {
      int requestsInFlight =
          loop.submit(callerServer::requestsInFlight).syncUninterruptibly().getNow();
      DrainPlan.Step step = plan.nextStep(clockMillis.getAsLong(), requestsInFlight);
      if (step == DrainPlan.Step.CLOSE_IDLE) {
        loop.execute(callerServer::closeIdle);
      }
      if (step == DrainPlan.Step.END && closeUnlessBusy()) {
        return;
      }
      TimeUnit.MILLISECONDS.sleep(DrainPlan.CHECK_INTERVAL_MILLIS);
    }
    endAll();
  }

  /** Answers what is still in flight, and waits until the answers are sent. */
  private void endAll() throws InterruptedException {
    loop.execute(dispatcher::endAll);
    loop.execute(callerServer::rejectUnread);
    long endMillis = clockMillis.getAsLong() + LAST_RESPONSES_MILLIS;
    while (!closeUnlessBusy() && clockMillis.getAsLong() < endMillis) {
      TimeUnit.MILLISECONDS.sleep(LAST_CHECK_INTERVAL_MILLIS);
    }
  }

  private boolean closeUnlessBusy() {
    return loop.submit(callerServer::closeUnlessBusy).syncUninterruptibly().getNow();
  }
}
