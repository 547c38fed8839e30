package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagerbank.caller.CallerExchange;
import org.tanagerbank.caller.CallerRequest;

/**
 * Guards against a fleet that returns and works for callers that left while the requests before
 * theirs were resumed.
 */
final class WaitingRequestsTest {
  private static final int REQUESTS = 50;
  private static final long LIMIT_MILLIS = 700;

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final WaitingRequests waiting = new WaitingRequests(channel.eventLoop());
  private final List<Caller> callers = IntStream.range(0, REQUESTS).mapToObj(Caller::new).toList();
  private final List<Integer> resumed = new ArrayList<>();

  /** A caller that waits for the response to one request. */
  private static final class Caller implements CallerExchange {
    private final int number;
    private final ByteBuf body = Unpooled.buffer(1);
    private Runnable disconnectAction = () -> {};

    private Caller(int number) {
      this.number = number;
    }

    private CallerRequest request() {
      return new CallerRequest(HttpMethod.GET, "/" + number, new DefaultHttpHeaders(), body, 0);
    }

    private void leave() {
      disconnectAction.run();
    }

    @Override
    public void onDisconnect(Runnable action) {
      disconnectAction = action;
    }

    @Override
    public void respond(int status, HttpHeaders headers, ByteBuf content) {}

    @Override
    public void beginResponse(int status, HttpHeaders headers) {}

    @Override
    public void write(ByteBuf part) {}

    @Override
    public void endResponse() {}

    @Override
    public void abort() {}

    @Override
    public boolean isWritable() {
      return true;
    }

    @Override
    public void onWritable(Runnable action) {}
  }

  /** Time passes in {@link #passMillis} only, however long a test takes. */
  @BeforeEach
  void freezeTime() {
    channel.freezeTime();
  }

  private void addAll() {
    callers.forEach(c -> waiting.add(c.request(), c, () -> resumed.add(c.number), LIMIT_MILLIS));
  }

  /** Lets time pass as an event loop does, which reads before it runs what has become due. */
  private void passMillis(int millis) {
    for (int i = 0; i < millis; i++) {
      channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
      channel.runPendingTasks();
    }
  }

  @Test
  void allAreResumedOnceInTheirOrder() {
    addAll();
    waiting.resumeAll();
    waiting.resumeAll();
    passMillis(100);
    assertThat(resumed).isEqualTo(IntStream.range(0, REQUESTS).boxed().toList());
    passMillis((int) LIMIT_MILLIS);
    assertThat(resumed).hasSize(REQUESTS);
  }

  @Test
  void callerThatLeavesWhileOthersAreResumedIsNotServed() {
    addAll();
    waiting.resumeAll();
    Caller last = callers.get(REQUESTS - 1);
    last.leave();
    passMillis(100);
    assertThat(resumed).hasSize(REQUESTS - 1);
    assertThat(resumed).doesNotContain(last.number);
    assertThat(last.body.refCnt()).isEqualTo(0);
  }

  @Test
  void requestThatWaitsForItsLimitProceeds() {
    Caller caller = callers.get(0);
    waiting.add(caller.request(), caller, () -> resumed.add(caller.number), LIMIT_MILLIS);
    passMillis((int) LIMIT_MILLIS - 1);
    assertThat(resumed).isEmpty();
    passMillis(2);
    assertThat(resumed).containsExactly(0);
  }
}
