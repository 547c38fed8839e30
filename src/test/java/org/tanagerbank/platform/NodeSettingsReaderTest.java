package org.tanagerbank.platform;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Guards against a start with missing or wrong settings, and against unclear fault messages. */
final class NodeSettingsReaderTest {
  private static final String COMPLETE =
      "{\"node\":\"n\",\"ip\":\"10.1.0.40\",\"zone\":\"z\",\"port-range\":[7340,7355],"
          + "\"listen\":{\"front\":\"10.1.0.40:8227\",\"ready\":\"10.1.0.40:8220\"},"
          + "\"platform\":{\"addr\":\"10.200.1.7:8223\"},\"new-field\":1,"
          + "\"bounds\":{\"drain-ms\":2000,\"config-ms\":2000,\"revoke-ms\":5000,\"grace-s\":8,"
          + "\"stable-ms\":3000,\"retry-ratio\":0.2,\"retry-window-s\":10,\"retry-slack\":54,"
          + "\"cap-x\":2,\"cold-over\":1.5,\"cold-slack\":5}}";

  @Test
  void completeSettingsAreParsed() {
    NodeSettings settings = NodeSettingsReader.parse(COMPLETE).settings();
    assertThat(settings.instanceId()).isEqualTo("n");
    assertThat(settings.callerAddress().getPort()).isEqualTo(8227);
    assertThat(settings.firstPeerPort()).isEqualTo(7340);
    assertThat(settings.bounds().graceMillis()).isEqualTo(8_000);
    assertThat(settings.bounds().retryRatio()).isEqualTo(0.2);
    assertThat(settings.bounds().coldOver()).isEqualTo(1.5);
    assertThat(settings.bounds().coldSlack()).isEqualTo(5);
  }

  @Test
  void allFaultsAreReportedAtOnce() {
    NodeSettings.ParseResult result =
        NodeSettingsReader.parse(
            COMPLETE
                .replace("\"node\":\"n\",", "")
                .replace("10.1.0.40:8227", "here")
                .replace("\"cap-x\":2", "\"cap-x\":\"two\""));
    assertThat(result.settings()).isNull();
    assertThat(result.faults())
        .containsExactly(
            "node: must be a non-empty text",
            "listen.front: must be ip:port, not \"here\"",
            "bounds.cap-x: must be a number that is not negative");
  }

  /** Platforms without cold upstreams do not name what these tolerate. */
  @Test
  void nothingIsToleratedUnlessTheSettingsSaySo() {
    String without = COMPLETE.replace(",\"cold-over\":1.5,\"cold-slack\":5", "");
    NodeSettings settings = NodeSettingsReader.parse(without).settings();
    assertThat(settings.bounds().coldOver()).isEqualTo(1);
    assertThat(settings.bounds().coldSlack()).isEqualTo(0);
  }

  @Test
  void regionsOfZonesAndTheBoundOfEvacuationsAreOptional() {
    NodeSettings without = NodeSettingsReader.parse(COMPLETE).settings();
    assertThat(without.regionsByZone()).isEmpty();
    assertThat(without.bounds().evacuationMillis()).isEqualTo(OptionalLong.empty());
    String zones = "\"region\":\"r1\",\"zones\":{\"y\":\"r2\"},\"new-field\"";
    NodeSettings with =
        NodeSettingsReader.parse(
                COMPLETE
                    .replace("\"new-field\"", zones)
                    .replace("\"cap-x\"", "\"evac-ms\":5000,\"cap-x\""))
            .settings();
    assertThat(with.regionsByZone()).containsExactly("z", "r1", "y", "r2");
    assertThat(with.bounds().evacuationMillis()).isEqualTo(OptionalLong.of(5_000));
  }

  @Test
  void wrongRegionsOfZonesAreReported() {
    String zones = "\"zones\":{\"y\":2},\"new-field\"";
    assertThat(NodeSettingsReader.parse(COMPLETE.replace("\"new-field\"", zones)).faults())
        .containsExactly("zones.y: must be a text");
  }

  @Test
  void missingFileAndTextWithoutObjectAreReportedAsOneFault() {
    assertThat(NodeSettingsReader.read(Path.of("no-such-file")).faults()).hasSize(1);
    assertThat(NodeSettingsReader.parse("[1]").faults()).hasSize(1);
    assertThat(NodeSettingsReader.parse("{").faults()).hasSize(1);
  }
}
