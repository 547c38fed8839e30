package org.tanagerbank.platformclient;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Iterables;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagerbank.http.AsyncHttpClient;
import org.tanagerbank.http.HttpRequestMessage;
import org.tanagerbank.http.Json;
import org.tanagerbank.http.RecordingListener;
import org.tanagerbank.instance.InstanceInfo;
import org.tanagerbank.instance.InstanceKind;
import org.tanagerbank.instance.InstanceState;
import org.tanagerbank.instance.Zone;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.request.Verdict;
import org.tanagerbank.standin.InstanceListStandin;
import org.tanagerbank.standin.LogSettings;
import org.tanagerbank.standin.LogStandin;
import org.tanagerbank.standin.WeightStandin;

/**
 * Guards against clients of the platform that report a wrong verdict or lose a record. Causes are
 * outages, lost or slow responses, rate limits and a stopped service.
 */
final class PlatformClientsTest {
  private static final InetSocketAddress FREE_PORT = new InetSocketAddress("127.0.0.1", 0);
  private static final long TIMEOUT_MILLIS = 20_000;

  private final LogStandin log =
      LogStandin.create(FREE_PORT, new LogSettings(TIMEOUT_MILLIS, 3, 100_000, 0));
  private final AsyncHttpClient httpClient = AsyncHttpClient.create(2_000);
  private HttpLogService client;

  @BeforeEach
  void start() {
    log.start();
    httpClient.start();
    client = HttpLogService.create(httpClient, log.address(), TIMEOUT_MILLIS);
  }

  @AfterEach
  void stop() {
    httpClient.stop();
    log.stop();
  }

  private static byte[] bytes(String text) {
    return text.getBytes(UTF_8);
  }

  private static TanagerException failure(Runnable call) {
    return assertThrows(TanagerException.class, call::run);
  }

  private void admin(InetSocketAddress address, String json) {
    HttpRequestMessage request =
        new HttpRequestMessage("POST", "/admin", ImmutableMap.of(), bytes(json));
    assertThat(httpClient.exchange(address, request, TIMEOUT_MILLIS).status()).isEqualTo(200);
  }

  @Test
  void readsAppendedRecordsInOrderPerStream() {
    byte[] binary = {0, (byte) 255, 10, 13};
    assertThat(client.append("a b/c", binary)).isEqualTo(1);
    assertThat(client.append("other", bytes("x"))).isEqualTo(1);
    assertThat(client.append("a b/c", bytes("y"))).isEqualTo(2);
    LogPage page = client.read("a b/c", 1, 10, 0);
    assertThat(page.nextOffset()).isEqualTo(3);
    assertThat(page.records().get(0).data()).isEqualTo(binary);
    assertThat(Iterables.transform(page.records(), LogRecord::offset)).containsExactly(1L, 2L);
    assertThat(client.read("a b/c", 1, 1, 0).nextOffset()).isEqualTo(2);
  }

  @Test
  void recordsBeyondRetainedCountExpire() {
    for (int i = 0; i < 5; i++) {
      client.append("s", bytes("r"));
    }
    TanagerException expired = failure(() -> client.read("s", 2, 10, 0));
    assertThat(expired.code()).isEqualTo(ErrorCode.RECORDS_EXPIRED);
    LogPage end = client.read("s", Long.MAX_VALUE, 1, 60_000);
    assertThat(end.firstRetained()).isEqualTo(3);
    assertThat(end.nextOffset()).isEqualTo(6);
    assertThat(client.read("s", 3, 10, 0).records()).hasSize(3);
  }

  @Test
  void reportsMayHaveRunWhenAppendResponseIsLost() {
    log.loseNextAnswers(1);
    TanagerException lost = failure(() -> client.append("s", bytes("lost")));
    assertThat(lost.code()).isEqualTo(ErrorCode.LOG_UNAVAILABLE);
    assertThat(lost.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
    assertThat(client.append("s", bytes("next"))).isEqualTo(2);
    assertThat(client.read("s", 1, 10, 0).records().get(0).data()).isEqualTo(bytes("lost"));
  }

  @Test
  void reportsNotRunDuringOutage() {
    admin(log.address(), "{\"outage\":true}");
    TanagerException rejected = failure(() -> client.append("s", bytes("x")));
    assertThat(rejected.verdict()).isEqualTo(Verdict.NOT_RUN);
    assertThat(rejected.retryAfterMillis()).isEqualTo(1_000);
    assertThat(failure(() -> client.read("s", 1, 1, 0)).code())
        .isEqualTo(ErrorCode.LOG_UNAVAILABLE);
    admin(log.address(), "{\"outage\":false}");
    assertThat(client.append("s", bytes("x"))).isEqualTo(1);
  }

  @Test
  void appendThatTimesOutMayStillTakeEffect() {
    admin(log.address(), "{\"slowMillis\":1000000}");
    HttpLogService shortTimeoutClient = HttpLogService.create(httpClient, log.address(), 100);
    assertThat(failure(() -> shortTimeoutClient.append("s", bytes("x"))).verdict())
        .isEqualTo(Verdict.MAY_HAVE_RUN);
    admin(log.address(), "{\"slowMillis\":0}");
    assertThat(client.read("s", 1, 10, 60_000).records()).hasSize(1);
  }

  @Test
  void reportsNotRunWhenLogIsStopped() {
    InetSocketAddress address = log.address();
    log.stop();
    HttpLogService stoppedLogClient = HttpLogService.create(httpClient, address, TIMEOUT_MILLIS);
    assertThat(failure(() -> stoppedLogClient.append("s", bytes("x"))).verdict())
        .isEqualTo(Verdict.NOT_RUN);
  }

  @Test
  void longPollReturnsWhenRecordIsAppendedOrWaitEnds() throws Exception {
    CompletableFuture<LogPage> pendingRead =
        CompletableFuture.supplyAsync(() -> client.read("s", 1, 10, 50_000));
    assertThat(client.read("s", 1, 10, 1).records()).isEmpty();
    client.append("s", bytes("x"));
    assertThat(pendingRead.get(20, TimeUnit.SECONDS).records()).hasSize(1);
  }

  @Test
  void reportsNotRunWhenAppendRateIsExceeded() {
    LogStandin limitedLog = LogStandin.create(FREE_PORT, new LogSettings(1_000, 1, 1, 0));
    limitedLog.start();
    HttpLogService limitedClient =
        HttpLogService.create(httpClient, limitedLog.address(), TIMEOUT_MILLIS);
    TanagerException rejected =
        failure(
            () -> {
              for (int i = 0; i < 1_000; i++) {
                limitedClient.append("s", bytes("x"));
              }
            });
    assertThat(rejected.verdict()).isEqualTo(Verdict.NOT_RUN);
    assertThat(rejected.retryAfterMillis()).isEqualTo(1_000);
    limitedLog.stop();
  }

  @Test
  void instanceListLagsAndDropsInstancesThatRefuseConnections() {
    InstanceListStandin list = InstanceListStandin.create(FREE_PORT, 0, 5);
    list.start();
    HttpInstanceList instances =
        HttpInstanceList.create(httpClient, list.address(), TIMEOUT_MILLIS);
    InstanceInfo info = instance(log.address());
    byte[] row = Json.bytes(InstanceRowCodec.toJson(info));
    HttpRequestMessage put = new HttpRequestMessage("PUT", "/instances/s1", ImmutableMap.of(), row);
    httpClient.exchange(list.address(), put, TIMEOUT_MILLIS);
    assertThat(instances.instances()).containsExactly(info);
    admin(list.address(), "{\"lagMillis\":1000000}");
    list.remove("s1");
    list.register(instance(log.address()));
    assertThat(instances.instances()).containsExactly(info);
    admin(list.address(), "{\"lagMillis\":0}");
    log.stop();
    RecordingListener.await("the instance is dropped", () -> instances.instances().isEmpty());
    admin(list.address(), "{\"outage\":true}");
    assertThat(failure(instances::instances).code()).isEqualTo(ErrorCode.PLATFORM_ERROR);
    list.stop();
  }

  private static InstanceInfo instance(InetSocketAddress address) {
    return new InstanceInfo(
        "s1",
        InstanceKind.SIDECAR,
        "model-pool",
        new Zone("bern-a", "ch-mittelland"),
        address,
        address,
        Long.MAX_VALUE,
        InstanceState.LEAVING);
  }

  @Test
  void reportsRetryTimeOfWeightStore() {
    WeightStandin store = WeightStandin.create(FREE_PORT, 0.001, 1_000);
    store.start();
    HttpWeightStore weights = HttpWeightStore.create(httpClient, store.address(), TIMEOUT_MILLIS);
    assertThat(weights.load("draft-1", "v1")).isEqualTo(1_000);
    TanagerException rejected = failure(() -> weights.load("draft-1", "v1"));
    assertThat(rejected.retryAfterMillis()).isAtLeast(500_000);
    admin(store.address(), "{\"outage\":true,\"loadsPerSecond\":1000}");
    assertThat(failure(() -> weights.load("draft-1", "v1")).retryAfterMillis()).isEqualTo(1_000);
    admin(store.address(), "{\"outage\":false}");
    assertThat(weights.load("draft-1", "v1")).isEqualTo(1_000);
    store.stop();
  }
}
