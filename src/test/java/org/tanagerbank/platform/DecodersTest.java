package org.tanagerbank.platform;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerbank.route.ColdLimits;
import org.tanagerbank.route.EngineLimits;
import org.tanagerbank.route.RequestKind;
import org.tanagerbank.route.Route;
import org.tanagerbank.route.RoutingConfig;
import org.tanagerbank.route.Workspace;
import org.tanagerbank.store.KeyedRecord;
import org.tanagerbank.upstream.UpstreamReport;

/**
 * Guards against wrong decoding of records of the store, and against the use of invalid records
 * that other writers put there.
 */
final class DecodersTest {
  private static final String REPORT =
      "{\"service\":\"s\",\"version\":\"v1.2\",\"addr\":\"10.0.0.9:8080\",\"zone\":\"z\","
          + "\"slots\":64,\"state\":\"ready\",\"cold-left-ms\":5,\"seq\":4,\"born\":1234}";

  private static final String CONFIG =
      "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"A.example\",\"path-prefix\":\"/p/\","
          + "\"type\":\"stream\",\"timeout-ms\":6000,\"slo-ms\":600,\"priority\":1,"
          + "\"split\":[{\"service\":\"s\",\"weight\":90},{\"service\":\"t\",\"weight\":10}],"
          + "\"attempts\":2,\"public\":false,\"resumable\":true}],"
          + "\"services\":[{\"name\":\"s\",\"max-conns\":360,"
          + "\"engine\":{\"slots\":64,\"kv-capacity\":314968}}],"
          + "\"limits\":{\"max-header-bytes\":100,\"max-body-bytes\":200,"
          + "\"header-timeout-ms\":300,\"idle-timeout-ms\":400},"
          + "\"tenants\":[{\"name\":\"w\",\"api-keys\":[\"k1\",\"k2\"],\"priority\":1}]}";

  private static Optional<UpstreamReport> upstream(String json) {
    return UpstreamDecoder.decode("i-1", json.getBytes(UTF_8));
  }

  @Test
  void reportIsDecoded() {
    UpstreamReport upstream = upstream(REPORT).get();
    assertThat(upstream.service()).isEqualTo("s");
    assertThat(upstream.softwareVersion()).isEqualTo("v1.2");
    assertThat(upstream.address().getPort()).isEqualTo(8080);
    assertThat(upstream.isDraining()).isFalse();
    assertThat(upstream.startedAtMillis()).isEqualTo(1234);
    assertThat(upstream.reportNumber()).isEqualTo(4);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"service", "version", "addr", "zone", "slots", "state", "cold-left-ms", "seq"})
  void reportThatLacksAFieldIsIgnored(String field) {
    assertThat(upstream(REPORT.replace('"' + field + '"', "\"other\""))).isEmpty();
  }

  /** An entry of another writer may hold values of any type and size. */
  @ParameterizedTest
  @CsvSource(
      delimiter = ';',
      quoteCharacter = '`',
      value = {
        "10.0.0.9:8080; 10.0.0.9:70000",
        "10.0.0.9:8080; 10.0.0.9:0",
        "10.0.0.9:8080; 10.0.0.9:-1",
        "10.0.0.9:8080; 10.0.0.9",
        ":64; :0",
        ":64; :-64",
        ":64; :2147483648",
        ":64; :1e999",
        ":5; :-5",
        ":5; :5.5",
        ":5; :9223372036854775808",
        ":4; :-4",
        ":4; :18446744073709551616",
        ":1234; :-1234",
        ":1234; :9223372036854775808",
        ":1234; :true",
        "\"v1.2\"; 1.2",
        "\"z\"; [[]]",
        "\"ready\"; {}",
      })
  void reportWithAnOddValueIsIgnored(String value, String oddValue) {
    assertThat(upstream(REPORT.replace(value, oddValue))).isEmpty();
  }

  @Test
  void reportBeyondTheLimitsOfTheDecoderIsIgnored() {
    int depth = 200_000;
    String nested = "[".repeat(depth) + "]".repeat(depth);
    assertThat(upstream(REPORT.replace("\"z\"", nested))).isEmpty();
    assertThat(upstream(REPORT.replace("64", "6".repeat(depth)))).isEmpty();
    assertThat(upstream("{\"a\":".repeat(depth))).isEmpty();
  }

  @Test
  void invalidReportIsIgnored() {
    assertThat(upstream("not json")).isEmpty();
    assertThat(upstream("[]")).isEmpty();
    assertThat(upstream("{}")).isEmpty();
    assertThat(upstream(REPORT.replace("\"ready\"", "\"resting\""))).isEmpty();
    assertThat(upstream(REPORT.replace("64", "\"64\""))).isEmpty();
    assertThat(upstream(REPORT.replace("10.0.0.9:8080", "elsewhere"))).isEmpty();
    assertThat(upstream(REPORT.replace("1234", "12.5"))).isEmpty();
    assertThat(upstream(REPORT.replace("\"service\":\"s\"", "\"service\":3"))).isEmpty();
  }

  @Test
  void configurationIsDecoded() throws IOException {
    RoutingConfig config = ConfigDecoder.decode(CONFIG.getBytes(UTF_8));
    Route route = config.routes().find("a.example", "/p/x").get();
    assertThat(config.version()).isEqualTo(7);
    assertThat(route.kind()).isEqualTo(RequestKind.STREAM);
    assertThat(route.isRepeatable()).isTrue();
    assertThat(route.services()).hasSize(2);
    assertThat(config.workspace("k2")).hasValue(new Workspace("w", 1));
    assertThat(config.workspace("k3")).isEmpty();
    assertThat(config.services().get("s").engine())
        .hasValue(new EngineLimits(64, 314968, OptionalDouble.empty()));
    assertThat(config.limits().maxBodyBytes()).isEqualTo(200);
  }

  /** A workspace without a priority must not become the most urgent one. */
  @ParameterizedTest
  @ValueSource(strings = {"", ",\"priority\":null", ",\"priority\":\"0\"", ",\"priority\":0.5"})
  void workspaceWithoutPriorityHasNone(String field) throws IOException {
    String config = CONFIG.replace("],\"priority\":1}]}", "]" + field + "}]}");
    assertThat(ConfigDecoder.decode(config.getBytes(UTF_8)).workspace("k2"))
        .hasValue(new Workspace("w", OptionalInt.empty(), ImmutableSet.of()));
  }

  private static String withHomeRegions(String field, String value) {
    String changed = CONFIG.replace(field, "\"home-regions\":" + value + "," + field);
    assertThat(changed).isNotEqualTo(CONFIG);
    return changed;
  }

  @Test
  void homeRegionsAreDecoded() throws IOException {
    RoutingConfig config =
        ConfigDecoder.decode(withHomeRegions("\"path-prefix\"", "[\"r1\",\"r2\"]").getBytes(UTF_8));
    assertThat(config.routes().find("a.example", "/p/x").get().homeRegions())
        .containsExactly("r1", "r2");
    assertThat(
            ConfigDecoder.decode(withHomeRegions("\"api-keys\"", "[\"r3\"]").getBytes(UTF_8))
                .workspace("k2")
                .get()
                .homeRegions())
        .containsExactly("r3");
  }

  /** If the value were ignored, requests would leave their regions. */
  @ParameterizedTest
  @ValueSource(strings = {"\"r1\"", "{}", "null", "1", "[1]", "[[\"r1\"]]", "[\"r1\",null]"})
  void homeRegionsThatAreNoListOfTextsAreRejected(String value) {
    for (String field : new String[] {"\"path-prefix\"", "\"api-keys\""}) {
      IOException error =
          assertThrows(
              IOException.class,
              () -> ConfigDecoder.decode(withHomeRegions(field, value).getBytes(UTF_8)));
      assertThat(error).hasMessageThat().contains("must be a list of texts");
    }
  }

  /** A rate that is no number, or negative, must not cost the rest of the configuration. */
  @ParameterizedTest
  @CsvSource({
    "8.3, 8.3",
    "11, 11",
    "0, 0",
    "-1, 0",
    "'\"8\"', 0",
    "true, 0",
    "null, 0",
    "1e999, 0"
  })
  void rateOfColdUpstreamsIsDecoded(String value, double perSecond) throws IOException {
    String cold = CONFIG.replace("360,", "360,\"cold-s\":1.5,\"cold-per-s\":" + value + ",");
    RoutingConfig config = ConfigDecoder.decode(cold.getBytes(UTF_8));
    assertThat(config.services().get("s").maxConnections()).isEqualTo(360);
    assertThat(config.services().get("s").cold())
        .isEqualTo(
            perSecond == 0 ? Optional.empty() : Optional.of(new ColdLimits(1_500, perSecond)));
  }

  @Test
  void transferTimeBetweenEnginesIsDecoded() throws IOException {
    String engine = "\"slots\":64,";
    String sized = CONFIG.replace(engine, engine + "\"kv-token-bytes\":125000,\"link-mbps\":1e6,");
    RoutingConfig config = ConfigDecoder.decode(sized.getBytes(UTF_8));
    assertThat(sized).isNotEqualTo(CONFIG);
    assertThat(config.services().get("s").engine().get().transferMillisPerToken())
        .isEqualTo(OptionalDouble.of(0.001));
  }

  @Test
  void configurationWithoutVersionIsRejected() {
    assertThrows(IOException.class, () -> ConfigDecoder.decode("{}".getBytes(UTF_8)));
    assertThrows(IOException.class, () -> ConfigDecoder.decode("{\"ver".getBytes(UTF_8)));
  }

  @Test
  void decodedRecordEqualsTheEncodedOne() {
    KeyedRecord entry = new KeyedRecord("key", Optional.of(new byte[] {1, 2, 3}));
    ByteBuffer bytes = RecordCodec.encode(entry).nioBuffer();
    KeyedRecord read = RecordCodec.decode(bytes).get(0).get();
    assertThat(read.key()).isEqualTo("key");
    assertThat(read.value().get()).isEqualTo(new byte[] {1, 2, 3});
  }

  @Test
  void recordWithoutValueIsDecodedAsRemoval() {
    ByteBuffer bytes = RecordCodec.encode(new KeyedRecord("key", Optional.empty())).nioBuffer();
    assertThat(RecordCodec.decode(bytes).get(0).get().value()).isEmpty();
  }

  @Test
  void incompleteRecordIsOmittedAndRecordWithoutKeyIsCounted() {
    byte[] bytes = {0, 0, 0, 1, 0, 0, 0, 0, 3, 1, 'k', 'v', 0, 0, 0, 9, 1};
    ImmutableList<Optional<KeyedRecord>> records = RecordCodec.decode(ByteBuffer.wrap(bytes));
    assertThat(records).hasSize(2);
    assertThat(records.get(0)).isEmpty();
    assertThat(records.get(1).get().key()).isEqualTo("k");
  }
}
