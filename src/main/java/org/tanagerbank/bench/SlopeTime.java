package org.tanagerbank.bench;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.tanagerbank.configreplica.ConfigRecord.Publish;
import org.tanagerbank.configreplica.ConfigRecordCodec;
import org.tanagerbank.configreplica.ConfigReplica;
import org.tanagerbank.declaration.DeclarationParser;
import org.tanagerbank.entry.ClaimIndex;
import org.tanagerbank.http.Json;
import org.tanagerbank.instance.InstanceInfo;
import org.tanagerbank.instance.Upstream;
import org.tanagerbank.ledger.AdmissionCheck;
import org.tanagerbank.ledger.RequestLedger;
import org.tanagerbank.ledger.Submission;
import org.tanagerbank.membership.MembershipSettings;
import org.tanagerbank.membership.MembershipView;
import org.tanagerbank.platformclient.LogPage;
import org.tanagerbank.platformclient.LogRecord;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.request.ChatKey;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.routing.LoadExchange;
import org.tanagerbank.routing.RouteRequest;
import org.tanagerbank.routing.SlotRouter;
import org.tanagerbank.routing.SlotTable;

/** Measures the processor time of routing decisions and control operations. Stateless. */
final class SlopeTime {
  private static final long[] UPSTREAM_COUNTS = {300, 1_200, 3_000};
  private static final long[] REPORTER_COUNTS = {8, 32, 128};
  private static final long[] ROW_COUNTS = {95, 3_095, 12_380};
  private static final long[] WORKSPACE_COUNTS = {1_000, 10_000, 34_000};
  private static final int ENTRIES_PER_ZONE = 38;
  private static final int ENTRIES_PER_REGION = 95;
  private static final int CHATS = 10_000;
  private static final int REPORT_INTERVAL_MILLIS = 500;

  private static final Object SERVED = new Object();

  private SlopeTime() {}

  static void measure(SlopeMeter meter, long seed) {
    meter.measureTime("decision", "upstream", UPSTREAM_COUNTS, n -> decision(n, seed));
    meter.measureTime("slot-table-join", "upstream", UPSTREAM_COUNTS, SlopeTime::join);
    meter.measureTime("slot-table-leave", "upstream", UPSTREAM_COUNTS, SlopeTime::leave);
    meter.measureTime("slot-table-zone", "upstream", UPSTREAM_COUNTS, SlopeTime::zoneLost);
    meter.measureTime("load-report-taken", "reporting sidecar", REPORTER_COUNTS, SlopeTime::report);
    meter.measureTime("load-reply-made", "reporting sidecar", REPORTER_COUNTS, SlopeTime::reply);
    meter.measureTime("load-tick", "entry of the region", new long[] {10, 38, 95}, SlopeTime::tick);
    meter.measureTime("list-parse", "row", ROW_COUNTS, SlopeTime::listParse);
    meter.measureTime("list-merge", "row", ROW_COUNTS, SlopeTime::listMerge);
    meter.measureTime("declaration-parse", "workspace", WORKSPACE_COUNTS, n -> parse(n, seed));
    meter.measureTime("config-adopt", "workspace", WORKSPACE_COUNTS, n -> adopt(n, seed));
    meter.measureTime("ledger-submit-finish", "request", new long[] {1}, n -> ledger(false));
    meter.measureTime("ledger-keyed", "request", new long[] {1}, n -> ledger(true));
    meter.measureTime("claim", "claim", new long[] {1, 10, 100}, SlopeTime::claims);
  }

  private static Runnable decision(long size, long seed) {
    SlotRouter router = SlopeHeap.router(SlopeFixtures.upstreams(size));
    SplittableRandom random = new SplittableRandom(seed);
    RouteRequest[] requests = new RouteRequest[CHATS];
    for (int i = 0; i < CHATS; i++) {
      ChatKey chat = ChatKey.of("office-1", "chat-" + random.nextLong());
      requests[i] =
          new RouteRequest("office-1", chat, ImmutableSet.of(), Optional.empty(), i % 2 == 0);
    }
    int[] next = {0};
    return () -> SlopeMeter.consume(router.choose(requests[next[0]++ % CHATS], 1_000_000, random));
  }

  private static Runnable join(long size) {
    List<Upstream> all = SlopeFixtures.upstreams(size);
    SlotTable before = SlotTable.empty().withUpstreams(all.subList(1, all.size()));
    return () -> SlopeMeter.consume(before.withUpstreams(all));
  }

  private static Runnable leave(long size) {
    List<Upstream> all = SlopeFixtures.upstreams(size);
    SlotTable before = SlotTable.empty().withUpstreams(all);
    return () -> SlopeMeter.consume(before.withUpstreams(all.subList(1, all.size())));
  }

  /**
   * Measures the loss of all upstreams of one zone, which has 2 in 5 of the upstreams of a region,
   * as one change of the slot table.
   */
  private static Runnable zoneLost(long size) {
    List<Upstream> all = SlopeFixtures.upstreams(size);
    SlotTable before = SlotTable.empty().withUpstreams(all);
    List<Upstream> remaining = all.subList(all.size() * 2 / 5, all.size());
    return () -> SlopeMeter.consume(before.withUpstreams(remaining));
  }

  /** The load state of one service at an entry, which processes reports as an entry does. */
  private static final class EntryLoadState {
    private final SlotRouter router = SlopeHeap.router(SlopeFixtures.upstreams(300));
    private final MembershipView view = new MembershipView(MembershipSettings.DEFAULT);
    private final LoadExchange exchange = exchange(ENTRIES_PER_REGION);
    private final Map<String, Long> lastReportMillis = new HashMap<>();
    private final List<InstanceInfo> rows = SlopeFixtures.parse(SlopeFixtures.list(3_000));
    private final byte[] frame = SlopeBytes.report(6).build().toByteArray();
    private long now = 1_000;
    private int next;

    EntryLoadState() {
      view.applyList(rows, now);
    }

    void report(int reporters) {
      InstanceInfo sidecar = rows.get(next++ % reporters);
      now += next % reporters == 0 ? REPORT_INTERVAL_MILLIS : 0;
      Frame parsedFrame = parsed();
      lastReportMillis.put(sidecar.id(), now);
      router.updateLoad(sidecar.id(), parsedFrame.getLoadReport().getInFlight(), now);
      view.recordAlive(sidecar.id(), sidecar.incarnation(), now);
      SlopeMeter.consume(view.members(now));
    }

    private Frame parsed() {
      try {
        return Frame.parseFrom(frame);
      } catch (InvalidProtocolBufferException e) {
        throw TanagerException.failure(
            ErrorCode.INTERNAL, "cannot parse the frame of the load report", e);
      }
    }

    void reply() {
      int reporting =
          (int) lastReportMillis.values().stream().filter(at -> now - at < 5_000).count();
      exchange.updateOwnLoad(router.acceptedAtLiveUpstreams(), reporting, now);
      SlopeMeter.consume(exchange.meanEstimate(now));
      SlopeMeter.consume(SlopeBytes.reply().build().toByteArray());
    }
  }

  private static LoadExchange exchange(long entries) {
    LoadExchange exchange = new LoadExchange(SlopeFixtures.id("entry", 1), SlopeFixtures.SERVICE);
    Map<String, String> zones = new HashMap<>();
    for (int i = 0; i < entries; i++) {
      zones.put(SlopeFixtures.id("entry", i), "zone-" + i / ENTRIES_PER_ZONE);
    }
    exchange.setEntries(zones);
    return exchange;
  }

  private static Runnable report(long reporters) {
    EntryLoadState state = new EntryLoadState();
    return () -> state.report((int) reporters);
  }

  private static Runnable reply(long reporters) {
    EntryLoadState state = new EntryLoadState();
    for (int i = 0; i < reporters; i++) {
      state.report((int) reporters);
    }
    return state::reply;
  }

  private static Runnable tick(long entries) {
    LoadExchange exchange = exchange(entries);
    long[] now = {1_000};
    return () -> {
      now[0] += 5;
      exchange.updateOwnLoad(now[0] / 500, 3, now[0]);
      SlopeMeter.consume(exchange.meanEstimate(now[0]));
      SlopeMeter.consume(exchange.pollMessages(now[0]));
    };
  }

  private static Runnable listParse(long size) {
    byte[] list = SlopeFixtures.list(size);
    return () -> SlopeMeter.consume(SlopeFixtures.parse(list));
  }

  private static Runnable listMerge(long size) {
    List<InstanceInfo> rows = SlopeFixtures.parse(SlopeFixtures.list(size));
    MembershipView view = new MembershipView(MembershipSettings.DEFAULT);
    long[] now = {1_000};
    return () -> {
      now[0] += 1_000;
      view.applyList(rows, now[0]);
      SlopeMeter.consume(view.members(now[0]));
    };
  }

  private static Runnable parse(long workspaces, long seed) {
    String text = SlopeFixtures.declaration(workspaces, seed);
    return () -> SlopeMeter.consume(DeclarationParser.parse(text));
  }

  private static Runnable adopt(long workspaces, long seed) {
    byte[] data =
        ConfigRecordCodec.encode(
            new Publish("publish-1", 0, "operator-1", SlopeFixtures.declaration(workspaces, seed)));
    LogPage page = new LogPage(1, 2, ImmutableList.of(new LogRecord(1, 1_000, data)));
    return () -> {
      ConfigReplica replica = new ConfigReplica();
      replica.startAt(1);
      SlopeMeter.consume(replica.apply(page));
    };
  }

  /** Measures one request. The ledger evicts ended requests as in operation. */
  private static Runnable ledger(boolean keyed) {
    RequestLedger<Object> ledger =
        new RequestLedger<>(SlopeFixtures.INCARNATION, SlopeHeap.LEDGER_LIMITS);
    long[] next = {0};
    return () -> {
      long now = next[0]++;
      Submission submission = SlopeHeap.submission(next[0], keyed);
      SlopeMeter.consume(
          ledger.submit(submission, () -> AdmissionCheck.Result.admit(SERVED), now * 100));
      ledger.finish(submission.id(), now * 100);
      ledger.dropAnswer(submission.id());
    };
  }

  /** Measures parsing a record of claims and applying it, as each entry does with each record. */
  private static Runnable claims(long count) {
    byte[] data = Json.bytes(SlopeBytes.claims(count));
    long[] offset = {0};
    return () -> {
      SlopeMeter.consume(Json.parseObject(data));
      ClaimIndex index = new ClaimIndex();
      for (int i = 0; i < count; i++) {
        index.apply(++offset[0], 1_000, List.of(SlopeHeap.claim(i)));
      }
      SlopeMeter.consume(index);
    };
  }
}
