package org.tanagerbank.adoption;

import com.google.common.collect.ImmutableList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.tanagerbank.adoption.ConfigRecord.Publish;
import org.tanagerbank.adoption.ConfigRecord.Snapshot;
import org.tanagerbank.adoption.RecordDecision.Outcome;
import org.tanagerbank.backing.LogPage;
import org.tanagerbank.backing.LogRecord;
import org.tanagerbank.declaration.DeclarationParser;
import org.tanagerbank.declaration.ParsedDeclaration;

/**
 * One reader's copy of the configuration, decided from the log's records in their order.
 *
 * <p>A Publish takes effect when its base is the revision in force and its text is valid. That
 * depends on the records alone, so all readers adopt the same sequence. Invariants: the revision in
 * force never decreases; a reader that <em>follows</em> knows the exact state of the log before its
 * position; a reader that does not follow only scans for a state it can start from and decides
 * nothing.
 *
 * <p>A reader can start from the empty state before offset 1, from any text accepted at offset R
 * (the state after R is R), or from a Snapshot (the state after {@code asOf}), provided that all
 * later records are still retained. A late Snapshot of a paused writer is therefore harmless: the
 * records after its {@code asOf} are replayed.
 *
 * <p>Not thread-safe. Subclasses exist only in tests, which take out one rule each.
 */
public class ConfigReplica {
  /** Enough for the publish ids of about 40 minutes at 35,000 changes a day. */
  private static final int REMEMBERED_IDS = 1_000;

  private final Map<String, Long> acceptedIds =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > REMEMBERED_IDS;
        }
      };

  private final AnchorTracker anchors = new AnchorTracker();
  private AcceptedText inForce = AcceptedText.NONE;
  private long position;
  private long scannedFrom;
  private boolean following;
  private boolean stalled;

  /**
   * Takes in the oldest offset that the log retains. Must be called before the first page, and
   * again when records that this reader still needed have expired.
   */
  public void begin(long firstRetained) {
    if (following && mayResume(firstRetained)) {
      position = Math.max(position, firstRetained);
      return;
    }
    stalled = false;
    if (inForce.revision() >= firstRetained - 1) {
      follow(inForce.revision() + 1);
      if (inForce.revision() == 0) {
        anchors.anchoredAt(1);
      }
      return;
    }
    following = false;
    scannedFrom = firstRetained;
    position = firstRetained;
    anchors.clear();
  }

  /** Returns the offset to read next; 0 before {@link #begin}. */
  public long position() {
    return position;
  }

  /** Returns whether this reader knows the state of the log before its position. */
  public boolean isFollowing() {
    return following;
  }

  /** Returns whether the record at the position has a later format, so reading cannot go on. */
  public boolean isStalled() {
    return stalled;
  }

  /** Returns the text in force, {@link AcceptedText#NONE} when there is none or it is unknown. */
  public AcceptedText inForce() {
    return inForce;
  }

  /** Returns where a reader that starts now could begin, for the snapshot policy. */
  public AnchorTracker anchors() {
    return anchors;
  }

  /**
   * Takes in a page read from {@link #position}, and returns what its records did. The rest of the
   * page is left out when a Snapshot moves the position back; it is read again then.
   */
  public ImmutableList<RecordDecision> read(LogPage page) {
    ImmutableList.Builder<RecordDecision> decisions = ImmutableList.builder();
    for (LogRecord record : page.records()) {
      if (record.offset() != position || stalled) {
        break;
      }
      decisions.add(read(record));
    }
    return decisions.build();
  }

  private RecordDecision read(LogRecord record) {
    ConfigRecord content = ConfigRecordCodec.decode(record.data());
    if (content instanceof ConfigRecord.Unsupported) {
      stalled = true;
      return decision(record, content, Outcome.UNSUPPORTED);
    }
    position++;
    anchors.recordRead(record);
    if (content instanceof Publish publish) {
      return publish(record, publish);
    }
    if (content instanceof Snapshot snapshot) {
      if (following) {
        anchors.snapshotRead(snapshot.asOf());
      } else {
        start(snapshot, record.offset());
      }
      return decision(record, content, Outcome.SNAPSHOT);
    }
    return decision(record, content, Outcome.MALFORMED);
  }

  private RecordDecision publish(LogRecord record, Publish publish) {
    if (!following) {
      return decision(record, publish, Outcome.UNDECIDED);
    }
    boolean current = inForce.revision() > 0 && publish.publishId().equals(inForce.publishId());
    if (current || !isOnBase(publish)) {
      Long earlier = acceptedIds.get(publish.publishId());
      Outcome outcome = current || earlier != null ? Outcome.REPEAT : Outcome.LOST;
      return decision(record, publish, outcome);
    }
    ParsedDeclaration parsed = DeclarationParser.parse(publish.text());
    if (!parsed.isValid()) {
      return new RecordDecision(
          record.offset(),
          record.timeMillis(),
          publish,
          Outcome.INVALID,
          0,
          inForce,
          parsed.faults());
    }
    adopt(
        new AcceptedText(
            record.offset(),
            publish.publishId(),
            publish.operator(),
            record.timeMillis(),
            publish.text(),
            parsed.declaration()));
    return decision(record, publish, Outcome.ACCEPTED);
  }

  private RecordDecision decision(LogRecord record, ConfigRecord content, Outcome outcome) {
    long revision =
        content instanceof Publish publish && outcome != Outcome.LOST
            ? acceptedIds.getOrDefault(publish.publishId(), 0L)
            : 0;
    return new RecordDecision(
        record.offset(),
        record.timeMillis(),
        content,
        outcome,
        revision,
        inForce,
        ImmutableList.of());
  }

  /**
   * Starts from a snapshot found while scanning; the records scanned after its asOf are retained.
   */
  private void start(Snapshot snapshot, long offset) {
    if (!isUsable(snapshot) || snapshot.revision() < inForce.revision()) {
      return;
    }
    if (snapshot.revision() > inForce.revision()) {
      ParsedDeclaration parsed = DeclarationParser.parse(snapshot.text());
      if (!parsed.isValid()) {
        return;
      }
      adopt(
          new AcceptedText(
              snapshot.revision(),
              snapshot.publishId(),
              snapshot.operator(),
              snapshot.publishedAtMillis(),
              snapshot.text(),
              parsed.declaration()));
    }
    follow(replayFrom(snapshot, offset));
    anchors.anchoredAt(position);
  }

  private void follow(long from) {
    following = true;
    position = from;
  }

  private void adopt(AcceptedText next) {
    inForce = next;
    acceptedIds.put(next.publishId(), next.revision());
  }

  /**
   * Takes in a peer's offer and returns whether it was adopted. Only a higher revision is; then the
   * log is read on from there.
   */
  public boolean offer(ConfigOffer offer) {
    if (!raises(offer.revision())) {
      return false;
    }
    Optional<AcceptedText> text =
        DeclarationParser.parse(offer.text())
            .declaration()
            .map(
                d ->
                    new AcceptedText(
                        offer.revision(), offer.publishId(), "", 0, offer.text(), Optional.of(d)));
    text.ifPresent(this::adoptOffer);
    return text.isPresent();
  }

  private void adoptOffer(AcceptedText offered) {
    adopt(offered);
    boolean begun = position > 0;
    if (begun && (following || offered.revision() >= scannedFrom - 1)) {
      stalled = false;
      anchors.clear();
      follow(offered.revision() + 1);
    }
  }

  /** Returns whether no record that this follower needs has expired. */
  boolean mayResume(long firstRetained) {
    return position >= firstRetained;
  }

  boolean isOnBase(Publish publish) {
    return publish.base() == inForce.revision();
  }

  /**
   * Returns whether an offer has a higher revision. A follower that has read an offset without
   * accepting its record knows that no such revision exists.
   */
  boolean raises(long offeredRevision) {
    return offeredRevision > inForce.revision() && !(following && offeredRevision < position);
  }

  /** Returns whether the records after a snapshot's asOf were retained when the scan began. */
  boolean isUsable(Snapshot snapshot) {
    return snapshot.asOf() >= scannedFrom - 1;
  }

  long replayFrom(Snapshot snapshot, long offset) {
    return snapshot.asOf() + 1;
  }
}
