package org.tanagerbank.bench;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.tanagerbank.declaration.DeclarationParser;
import org.tanagerbank.declaration.ServiceSpec;
import org.tanagerbank.entry.ClaimIndex;
import org.tanagerbank.entry.ClaimIndex.Claim;
import org.tanagerbank.instance.Upstream;
import org.tanagerbank.ledger.AdmissionCheck;
import org.tanagerbank.ledger.AnswerBuffer;
import org.tanagerbank.ledger.IdempotencyKey;
import org.tanagerbank.ledger.LedgerLimits;
import org.tanagerbank.ledger.RequestLedger;
import org.tanagerbank.ledger.Submission;
import org.tanagerbank.link.Link;
import org.tanagerbank.link.LinkClient;
import org.tanagerbank.link.LinkHandler;
import org.tanagerbank.link.LinkServer;
import org.tanagerbank.membership.MembershipSettings;
import org.tanagerbank.membership.MembershipView;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.request.ChatKey;
import org.tanagerbank.request.Fingerprint;
import org.tanagerbank.request.RequestId;
import org.tanagerbank.routing.ChatDirectory;
import org.tanagerbank.routing.SlotRouter;

/** Measures the heap that the state of entries and sidecars occupies. Stateless. */
final class SlopeHeap {
  static final LedgerLimits LEDGER_LIMITS =
      new LedgerLimits(1 << 20, 600_000, 1 << 20, 86_400_000, 65_536);

  private static final long[] UPSTREAM_COUNTS = {100, 300, 1_000, 3_000};
  private static final long[] RECORD_COUNTS = {2_000, 8_000, 32_000};
  private static final long[] LINK_COUNTS = {100, 250, 500};

  /** The events of a mean answer: 460 tokens at 10,000 requests/s, with one event per token. */
  private static final int ANSWER_EVENTS = 460;

  private static final int EVENT_BYTES = 200;
  private static final int CAPACITY = 1 << 20;
  private static final long OPEN_TIMEOUT_NANOS = 20_000_000_000L;

  private SlopeHeap() {}

  static void measure(SlopeMeter meter, long seed) {
    meter.measureHeap("membership-view", "upstream", UPSTREAM_COUNTS, 8, SlopeHeap::view);
    List<Upstream> upstreams = SlopeFixtures.upstreams(3_000);
    meter.measureHeap(
        "slot-router", "upstream", UPSTREAM_COUNTS, 4, n -> router(upstreams.subList(0, (int) n)));
    meter.measureHeap("home-directory-here", "chat", RECORD_COUNTS, 4, n -> homes(n, false));
    meter.measureHeap("home-directory-spilled", "chat", RECORD_COUNTS, 4, n -> homes(n, true));
    meter.measureHeap("ledger-record", "record", RECORD_COUNTS, 4, n -> ledger(n, false));
    meter.measureHeap(
        "ledger-key", "record with a caller's key", RECORD_COUNTS, 2, n -> ledger(n, true));
    meter.measureHeap("retained-answer", "answer", new long[] {10, 30, 100}, 2, SlopeHeap::answers);
    meter.measureHeap("claim-index", "claim", RECORD_COUNTS, 2, SlopeHeap::claims);
    meter.measureHeap(
        "declaration",
        "workspace",
        new long[] {1_000, 10_000, 34_000},
        2,
        n -> DeclarationParser.parseValid(SlopeFixtures.declaration(n, seed)));
    meter.measureCost(
        "idle-link", SlopeMeter.BYTES, "link with both ends", LINK_COUNTS, SlopeHeap::links);
  }

  private static Object view(long size) {
    MembershipView view = new MembershipView(MembershipSettings.DEFAULT);
    view.applyList(SlopeFixtures.parse(SlopeFixtures.list(size)), 1_000);
    SlopeMeter.consume(view.members(1_000));
    return view;
  }

  static ServiceSpec spec() {
    return DeclarationParser.parseValid(SlopeFixtures.declaration(0, 1))
        .service(SlopeFixtures.SERVICE)
        .orElseThrow();
  }

  static SlotRouter router(List<Upstream> upstreams) {
    SlotRouter router = new SlotRouter(spec(), SlopeFixtures.ZONE);
    router.setUpstreams(upstreams, 1_000);
    return router;
  }

  private static Object homes(long size, boolean spilled) {
    ChatDirectory directory = new ChatDirectory(CAPACITY, 0);
    for (long i = 0; i < size; i++) {
      ChatKey chat = ChatKey.of("office-1", "chat-" + i);
      if (spilled) {
        directory.recordSpill(chat, SlopeFixtures.id("worker", i % 300));
      } else {
        directory.recordServedHere(chat);
      }
    }
    return directory;
  }

  static Submission submission(long sequence, boolean keyed) {
    RequestId id =
        new RequestId(
            SlopeFixtures.id("entry", sequence % 95), SlopeFixtures.INCARNATION, sequence);
    Optional<IdempotencyKey> key =
        keyed
            ? Optional.of(
                IdempotencyKey.chosenByCaller(
                    "office-1", "invoice-2026-" + sequence, new Fingerprint(sequence)))
            : Optional.empty();
    return new Submission(id, 1, SlopeFixtures.INCARNATION, keyed, key);
  }

  private static Object ledger(long size, boolean keyed) {
    RequestLedger<Object> ledger = new RequestLedger<>(SlopeFixtures.INCARNATION, LEDGER_LIMITS);
    for (long i = 1; i <= size; i++) {
      Submission submission = submission(i, keyed);
      SlopeMeter.consume(
          ledger.submit(submission, () -> AdmissionCheck.Result.admit(new Object()), 1_000));
      ledger.finish(submission.id(), 1_000);
      ledger.dropAnswer(submission.id());
    }
    return ledger;
  }

  private static Object answers(long size) {
    List<AnswerBuffer> answers = new ArrayList<>();
    for (long i = 0; i < size; i++) {
      AnswerBuffer answer = new AnswerBuffer(CAPACITY);
      for (int event = 0; event < ANSWER_EVENTS; event++) {
        answer.append(new byte[EVENT_BYTES]);
      }
      answer.end();
      answers.add(answer);
    }
    return answers;
  }

  private static Object claims(long size) {
    ClaimIndex index = new ClaimIndex();
    for (int i = 1; i <= size; i++) {
      index.apply(i, 1_000, List.of(claim(i)));
    }
    return index;
  }

  static Claim claim(int number) {
    return new Claim(
        "n-" + number,
        String.format("%032x", 0x9e3779b97f4a7c15L * number),
        SlopeFixtures.id("worker", number % 300),
        SlopeFixtures.INCARNATION,
        0);
  }

  private static double links(long count) {
    AtomicInteger accepted = new AtomicInteger();
    LinkServer server =
        LinkServer.create(new InetSocketAddress("127.0.0.1", 0), new OpenCounter(accepted));
    LinkClient client = LinkClient.create();
    server.start();
    client.start();
    try {
      // The first links load classes and fill pools that all links share, so they do not count.
      open(client, server, 10);
      await(accepted, 10);
      long before = SlopeMeter.usedHeap();
      List<Link> links = open(client, server, count);
      await(accepted, 10 + count);
      double used = SlopeMeter.usedHeap() - before;
      links.forEach(Link::close);
      return used;
    } finally {
      client.stop();
      server.stop();
    }
  }

  private static List<Link> open(LinkClient client, LinkServer server, long count) {
    List<Link> links = new ArrayList<>();
    for (long i = 0; i < count; i++) {
      links.add(client.open(server.address(), new OpenCounter(new AtomicInteger())).join());
    }
    return links;
  }

  private static void await(AtomicInteger accepted, long count) {
    long start = System.nanoTime();
    while (accepted.get() < count && System.nanoTime() - start < OPEN_TIMEOUT_NANOS) {
      Thread.onSpinWait();
    }
  }

  /** Counts the links that open. No frames are sent. */
  private record OpenCounter(AtomicInteger count) implements LinkHandler {
    @Override
    public void opened(Link link) {
      count.incrementAndGet();
    }

    @Override
    public void received(Link link, Frame frame) {
      // No frame is sent on these links.
    }

    @Override
    public void closed(Link link, String reason) {
      // The links are closed by the measurement itself.
    }
  }
}
