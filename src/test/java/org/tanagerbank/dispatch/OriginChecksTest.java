package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tanagerbank.stream.StreamOrigin;
import org.tanagerbank.stream.StreamOrigins;
import org.tanagerbank.upstream.Connector;
import org.tanagerbank.upstream.UpstreamReport;

/**
 * Guards against a stream that goes on at another software version than the one that began it,
 * because its upstream had started again under its id and its report of that was not read yet.
 */
final class OriginChecksTest {
  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private long nowMillis = 10_000;
  private final Upstreams upstreams =
      new Upstreams(
          Connector.tcp(group.next()),
          () -> nowMillis,
          () -> nowMillis,
          new SplittableRandom(1),
          ColdTolerance.NONE);
  private final StreamOrigins origins = new StreamOrigins(() -> nowMillis);
  private final OriginChecks checks = new OriginChecks(origins, () -> nowMillis);

  @AfterEach
  void stop() {
    group.shutdownGracefully();
  }

  private void readReport(String version, long startedAt) {
    upstreams.update(
        ImmutableList.of(
            new UpstreamReport(
                "a", "s", version, new InetSocketAddress(1), "z", 4, false, 0, startedAt, 1)),
        Optional.empty());
  }

  private Optional<String> knownVersion() {
    return origins.known("stream").map(StreamOrigin::softwareVersion);
  }

  /** A stream began at 10,000, and the next process of the upstream started at another time. */
  @ParameterizedTest
  @CsvSource({"9500, v2", "10500, v1"})
  void streamBeganAtTheProcessThatHadStartedByThen(long nextStartedAt, String version) {
    readReport("v1", 1);
    checks.recordBegun("stream", upstreams.find("a").orElseThrow());
    assertThat(knownVersion()).hasValue("v1");
    nowMillis = 10_900;
    readReport("v2", nextStartedAt);
    checks.confirm(9_999);
    assertThat(knownVersion()).hasValue("v1");
    checks.confirm(10_000);
    assertThat(knownVersion()).hasValue(version);
  }

  @Test
  void streamIsLookedAtOnce() {
    readReport("v1", 1);
    checks.recordBegun("stream", upstreams.find("a").orElseThrow());
    checks.confirm(10_000);
    readReport("v2", 9_500);
    checks.confirm(11_000);
    assertThat(knownVersion()).hasValue("v1");
  }
}
