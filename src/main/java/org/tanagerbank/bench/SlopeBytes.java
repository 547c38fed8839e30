package org.tanagerbank.bench;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.CodedOutputStream;
import org.tanagerbank.configreplica.ConfigRecord.Publish;
import org.tanagerbank.configreplica.ConfigRecordCodec;
import org.tanagerbank.http.Json;
import org.tanagerbank.proto.LinkProto.ConfigPush;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.proto.LinkProto.Hello;
import org.tanagerbank.proto.LinkProto.LoadReply;
import org.tanagerbank.proto.LinkProto.LoadReport;
import org.tanagerbank.proto.LinkProto.LoadSums;
import org.tanagerbank.proto.LinkProto.MeanLoad;
import org.tanagerbank.proto.LinkProto.Ping;
import org.tanagerbank.proto.LinkProto.Pong;
import org.tanagerbank.proto.LinkProto.QuarantineNotice;
import org.tanagerbank.proto.LinkProto.ServiceLoad;
import org.tanagerbank.proto.LinkProto.SpillNotice;

/**
 * Measures the encoded size of control messages, including their length prefix, and of log records.
 *
 * <p>Fields have the values that entries and sidecars set. Numbers that grow over time have the
 * size they reach after a week in service. Stateless.
 */
final class SlopeBytes {
  private static final long REVISION = 245_000;
  private static final long SEQUENCE = 1_000_000;
  private static final long HASH = 0x9e3779b97f4a7c15L;
  private static final String PUBLISH_ID = "0f2b6c1e-8c7d-4a53-9a65-2f1f0c5f9f10";
  private static final int BYTES_PER_KILOBYTE = 1_000;

  private SlopeBytes() {}

  static void measure(SlopeMeter meter, long seed) {
    recordMessageSize(meter, "load-report", encodedBytes(report(6)));
    recordMessageSize(meter, "load-reply", encodedBytes(reply()));
    recordMessageSize(meter, "hello", encodedBytes(hello()));
    recordMessageSize(
        meter,
        "ping",
        encodedBytes(Frame.newBuilder().setPing(Ping.newBuilder().setNonce(SEQUENCE))));
    recordMessageSize(
        meter,
        "pong",
        encodedBytes(Frame.newBuilder().setPong(Pong.newBuilder().setNonce(SEQUENCE))));
    recordMessageSize(meter, "spill-notice", encodedBytes(spill()));
    recordMessageSize(meter, "quarantine-notice", encodedBytes(quarantine()));
    recordMessageSize(meter, "config-push-unchanged", encodedBytes(push("").setUnchanged(true)));
    meter.measureCost(
        "load-sums",
        SlopeMeter.BYTES,
        "service",
        new long[] {1, 2, 5, 10},
        n -> encodedBytes(sums(n)));
    meter.measureCost(
        "config-push",
        SlopeMeter.BYTES,
        "KB of text",
        new long[] {1, 10, 100, 800},
        n -> encodedBytes(push("x".repeat((int) n * BYTES_PER_KILOBYTE))));
    meter.measureCost(
        "claim-record",
        SlopeMeter.BYTES,
        "claim",
        new long[] {1, 10, 100},
        n -> Json.bytes(claims(n)).length);
    meter.measureCost(
        "list-row",
        SlopeMeter.BYTES,
        "row",
        new long[] {95, 3_095, 12_380},
        n -> SlopeFixtures.list(n).length);
    long[] workspaces = {1_000, 10_000, 34_000};
    meter.measureCost(
        "config-text",
        SlopeMeter.BYTES,
        "workspace",
        workspaces,
        n -> SlopeFixtures.declaration(n, seed).length());
    meter.measureCost(
        "config-record",
        SlopeMeter.BYTES,
        "workspace",
        workspaces,
        n -> record(SlopeFixtures.declaration(n, seed)).length);
  }

  private static void recordMessageSize(SlopeMeter meter, String name, double size) {
    meter.measureCost(name, SlopeMeter.BYTES, "message", new long[] {1}, n -> size);
  }

  /** Returns the size of a frame on a link in bytes, including its length prefix. */
  static int encodedBytes(Frame.Builder frame) {
    int size = frame.build().getSerializedSize();
    return size + CodedOutputStream.computeUInt32SizeNoTag(size);
  }

  private static int encodedBytes(ConfigPush.Builder push) {
    return encodedBytes(Frame.newBuilder().setConfigPush(push));
  }

  static byte[] record(String text) {
    return ConfigRecordCodec.encode(new Publish(PUBLISH_ID, REVISION, "operator-1", text));
  }

  static Frame.Builder report(int inFlight) {
    return Frame.newBuilder()
        .setLoadReport(
            LoadReport.newBuilder()
                .setSequence(SEQUENCE)
                .setInFlight(inFlight)
                .setAccepting(true)
                .setRevision(REVISION));
  }

  static Frame.Builder reply() {
    return Frame.newBuilder()
        .setLoadReply(
            LoadReply.newBuilder()
                .setMean(
                    MeanLoad.newBuilder()
                        .setMilliRequests(19_583)
                        .setLiveUpstreams(300)
                        .setAgeMillis(640)));
  }

  private static Frame.Builder hello() {
    return Frame.newBuilder()
        .setHello(
            Hello.newBuilder()
                .setInstanceId(SlopeFixtures.id("worker", 1))
                .setIncarnation(SlopeFixtures.INCARNATION)
                .setZone(SlopeFixtures.ZONE.name())
                .setRegion(SlopeFixtures.ZONE.region())
                .setService(SlopeFixtures.SERVICE)
                .setRevision(REVISION));
  }

  private static Frame.Builder spill() {
    return Frame.newBuilder()
        .setSpillNotice(
            SpillNotice.newBuilder()
                .setChatHash(HASH)
                .setUpstreamId(SlopeFixtures.id("worker", 1)));
  }

  private static Frame.Builder quarantine() {
    return Frame.newBuilder()
        .setQuarantineNotice(
            QuarantineNotice.newBuilder()
                .setService(SlopeFixtures.SERVICE)
                .setFingerprint(HASH)
                .setExpiresAtMillis(SlopeFixtures.INCARNATION));
  }

  private static Frame.Builder sums(long services) {
    LoadSums.Builder sums = LoadSums.newBuilder().setScope("ENTRY").setSequence(SEQUENCE);
    for (int i = 0; i < services; i++) {
      sums.addServices(
          ServiceLoad.newBuilder()
              .setService(SlopeFixtures.SERVICE)
              .setInFlight(62)
              .setLiveUpstreams(3));
    }
    return Frame.newBuilder().setLoadSums(sums);
  }

  private static ConfigPush.Builder push(String text) {
    return ConfigPush.newBuilder().setRevision(REVISION).setPublishId(PUBLISH_ID).setText(text);
  }

  /** Returns a record of stream {@code claims} in the format that the entry's codec writes. */
  static ObjectNode claims(long count) {
    ObjectNode root = Json.object();
    ArrayNode rows = root.putArray("claims");
    for (int i = 0; i < count; i++) {
      rows.addObject()
          .put("nonce", PUBLISH_ID)
          .put("key", String.format("%032x", HASH + i))
          .put("upstream", SlopeFixtures.id("worker", i))
          .put("incarnation", SlopeFixtures.INCARNATION);
    }
    return root;
  }
}
