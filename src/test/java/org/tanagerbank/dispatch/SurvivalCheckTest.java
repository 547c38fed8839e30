package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.tanagerbank.dispatch.SurvivalCheck.Result;
import org.tanagerbank.upstream.ConnectionPool;
import org.tanagerbank.upstream.HttpConnection;

/**
 * Guards against a process that is taken for the one that closed a connection, although it only has
 * its address by now, because the close was read late.
 */
final class SurvivalCheckTest {
  private static final long RESTART_MILLIS = 3_000;

  private final List<EmbeddedChannel> channels = new ArrayList<>();
  private Runnable beforeConnect = () -> {};
  private boolean isListening = true;
  private long nowMillis = 10_000;
  private final ConnectionPool pool =
      ConnectionPool.create(
          this::connect, InetSocketAddress.createUnresolved("upstream", 1), () -> nowMillis);
  private final SurvivalCheck check = new SurvivalCheck(() -> nowMillis);
  private Optional<Result> result = Optional.empty();

  private ChannelFuture connect(InetSocketAddress address, ChannelHandler... handlers) {
    beforeConnect.run();
    EmbeddedChannel channel = new EmbeddedChannel(handlers);
    if (!isListening) {
      return channel.newFailedFuture(new ConnectException("refused"));
    }
    channels.add(channel);
    return channel.newSucceededFuture();
  }

  private HttpConnection open() {
    List<HttpConnection> opened = new ArrayList<>();
    pool.acquire(opened::add, () -> {});
    return opened.get(0);
  }

  /** Ends the process with its connections. */
  private void crash() {
    channels.forEach(EmbeddedChannel::close);
    isListening = false;
  }

  /** Lets time pass while the event loop runs. */
  private void advance(long millis) {
    for (long end = nowMillis + millis; nowMillis < end; nowMillis += 10) {
      check.beat();
    }
  }

  private Result check(HttpConnection closed) {
    check.start(pool, closed, r -> result = Optional.of(r));
    return result.get();
  }

  @Test
  void processThatAcceptsConnectionsAtOnceHasSurvived() {
    HttpConnection connection = open();
    advance(1_000);
    channels.get(0).close();
    assertThat(check(connection)).isEqualTo(Result.SURVIVED);
  }

  @Test
  void processThatRefusesConnectionsHasEnded() {
    HttpConnection connection = open();
    crash();
    assertThat(check(connection)).isEqualTo(Result.ENDED);
  }

  /** The caller reads slowly, so the close waits until another process has the address. */
  @Test
  void closeThatWaitedForASlowCallerProvesNothing() {
    HttpConnection connection = open();
    advance(1_000);
    connection.setReading(false);
    advance(10);
    crash();
    advance(RESTART_MILLIS);
    isListening = true;
    connection.setReading(true);
    advance(20);
    assertThat(check(connection)).isEqualTo(Result.UNKNOWN);
  }

  /** The process itself stood still. */
  @Test
  void closeThatWaitedForAPausedEventLoopProvesNothing() {
    HttpConnection connection = open();
    advance(1_000);
    crash();
    nowMillis += RESTART_MILLIS;
    isListening = true;
    check.beat();
    nowMillis += 10;
    assertThat(check(connection)).isEqualTo(Result.UNKNOWN);
  }

  @Test
  void otherConnectionThatStayedOpenProvesSurvivalAlsoAfterAPause() {
    HttpConnection other = open();
    HttpConnection connection = open();
    advance(1_000);
    nowMillis += RESTART_MILLIS;
    channels.get(1).close();
    assertThat(other.isOpen()).isTrue();
    assertThat(check(connection)).isEqualTo(Result.SURVIVED);
  }

  /** A supervisor may start a process again before the new connection arrives. */
  @Test
  void otherConnectionsThatCloseAtTheSameTimeContradictSurvival() {
    HttpConnection connection = open();
    open();
    advance(1_000);
    channels.get(0).close();
    beforeConnect = () -> channels.get(1).close();
    assertThat(check(connection)).isEqualTo(Result.UNKNOWN);
  }
}
