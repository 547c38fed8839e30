package org.tanagerbank.configreplica;

import com.google.common.collect.ImmutableList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.tanagerbank.configreplica.ConfigRecord.Publish;
import org.tanagerbank.configreplica.ConfigRecord.Snapshot;
import org.tanagerbank.configreplica.RecordDecision.Outcome;
import org.tanagerbank.declaration.DeclarationParser;
import org.tanagerbank.declaration.ParsedDeclaration;
import org.tanagerbank.platformclient.LogPage;
import org.tanagerbank.platformclient.LogRecord;

/**
 * A reader's copy of the configuration, computed by applying the records of the log in order.
 *
 * <p>A Publish is accepted if its base is the revision in force and its text is valid. This depends
 * only on the records, so all readers adopt the same sequence of revisions. Invariants:
 *
 * <ul>
 *   <li>The revision in force never decreases.
 *   <li>A reader that is <em>following</em> knows the exact state of the log before its position.
 *   <li>A reader that is not following only scans for a state to start from, and decides on no
 *       Publish.
 * </ul>
 *
 * <p>A reader can start from the empty state before offset 1, from any text accepted at offset R
 * (after which the revision in force is R), or from a Snapshot (which contains the state after its
 * {@code asOf}), provided that all later records are still retained. A Snapshot that is appended
 * late, because its writer was paused, is therefore harmless: readers replay the records after its
 * {@code asOf}.
 *
 * <p>Not thread-safe. Only tests extend this class; each subclass disables one rule.
 */
public class ConfigReplica {
  /** Covers the publish ids of about 40 minutes at 35,000 changes a day. */
  private static final int MAX_ACCEPTED_IDS = 1_000;

  private final Map<String, Long> revisionsByPublishId =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MAX_ACCEPTED_IDS;
        }
      };

  private final StartPointTracker startPoint = new StartPointTracker();
  private AcceptedText inForce = AcceptedText.NONE;
  private long position;
  private long scannedFrom;
  private boolean following;
  private boolean stalled;

  /**
   * Sets the first offset that this reader can read, which is the oldest offset that the log
   * retains or a later one. The reader continues from its state if it needs no earlier record;
   * otherwise it scans for a state to start from. Must be called before the first page is read, and
   * again if records that this reader still needed have expired.
   */
  public void startAt(long firstOffset) {
    if (following && canResume(firstOffset)) {
      position = Math.max(position, firstOffset);
      return;
    }
    stalled = false;
    if (inForce.revision() >= firstOffset - 1) {
      followFrom(inForce.revision() + 1);
      if (inForce.revision() == 0) {
        startPoint.resetTo(1);
      }
      return;
    }
    following = false;
    scannedFrom = firstOffset;
    position = firstOffset;
    startPoint.clear();
  }

  /** Returns the offset of the record to read next; 0 before {@link #startAt}. */
  public long position() {
    return position;
  }

  /** Returns whether this reader knows the exact state of the log before its position. */
  public boolean isFollowing() {
    return following;
  }

  /**
   * Returns whether the record at the position has an unsupported format version, so that this
   * reader cannot continue.
   */
  public boolean isStalled() {
    return stalled;
  }

  /**
   * Returns the text that this reader adopted last, or {@link AcceptedText#NONE} if it adopted
   * none. If the reader is following, that is the text in force before its position.
   */
  public AcceptedText inForce() {
    return inForce;
  }

  /**
   * Returns the tracker of the offset from which a new reader could start. {@link SnapshotPolicy}
   * uses it.
   */
  public StartPointTracker startPoint() {
    return startPoint;
  }

  /**
   * Applies a page that was read from {@link #position}, and returns the decisions on its records.
   * If a Snapshot moves the position back, the rest of the page is ignored, because it will be read
   * again.
   */
  public ImmutableList<RecordDecision> apply(LogPage page) {
    ImmutableList.Builder<RecordDecision> decisions = ImmutableList.builder();
    for (LogRecord record : page.records()) {
      if (record.offset() != position || stalled) {
        break;
      }
      decisions.add(apply(record));
    }
    return decisions.build();
  }

  private RecordDecision apply(LogRecord record) {
    ConfigRecord content = ConfigRecordCodec.decode(record.data());
    if (content instanceof ConfigRecord.Unsupported) {
      stalled = true;
      return decision(record, content, Outcome.UNSUPPORTED);
    }
    position++;
    startPoint.addRecord(record);
    if (content instanceof Publish publish) {
      return decidePublish(record, publish);
    }
    if (content instanceof Snapshot snapshot) {
      if (following) {
        startPoint.applySnapshot(snapshot.asOf());
      } else {
        startFromSnapshot(snapshot, record.offset());
      }
      return decision(record, content, Outcome.SNAPSHOT);
    }
    return decision(record, content, Outcome.MALFORMED);
  }

  private RecordDecision decidePublish(LogRecord record, Publish publish) {
    if (!following) {
      return decision(record, publish, Outcome.UNDECIDED);
    }
    boolean current = inForce.revision() > 0 && publish.publishId().equals(inForce.publishId());
    if (current || !isOnBase(publish)) {
      Long earlier = revisionsByPublishId.get(publish.publishId());
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
            ? revisionsByPublishId.getOrDefault(publish.publishId(), 0L)
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
   * Starts from a snapshot that was found while scanning, if the records after its {@code asOf} are
   * retained and it does not lower the revision in force.
   */
  private void startFromSnapshot(Snapshot snapshot, long offset) {
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
    followFrom(replayOffset(snapshot, offset));
    startPoint.resetTo(position);
  }

  private void followFrom(long from) {
    following = true;
    position = from;
  }

  private void adopt(AcceptedText next) {
    inForce = next;
    revisionsByPublishId.put(next.publishId(), next.revision());
  }

  /**
   * Applies an offer of a peer, and returns whether it was adopted. Only valid texts of a higher
   * revision are adopted. The reader then continues after that revision, provided that it is
   * following or the records after that revision are retained.
   */
  public boolean offer(ConfigOffer offer) {
    if (!isHigherRevision(offer.revision())) {
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
    boolean hasBegun = position > 0;
    if (hasBegun && (following || offered.revision() >= scannedFrom - 1)) {
      stalled = false;
      startPoint.clear();
      followFrom(offered.revision() + 1);
    }
  }

  /** Returns whether all records that this reader still needs are retained. */
  boolean canResume(long firstOffset) {
    return position >= firstOffset;
  }

  boolean isOnBase(Publish publish) {
    return publish.base() == inForce.revision();
  }

  /**
   * Returns whether an offer has a higher revision than the one in force. A following reader
   * rejects a revision below its position: it did not accept the record at that offset, so no such
   * revision exists.
   */
  boolean isHigherRevision(long offeredRevision) {
    return offeredRevision > inForce.revision() && !(following && offeredRevision < position);
  }

  /** Returns whether this reader can read all records after the {@code asOf} of a snapshot. */
  boolean isUsable(Snapshot snapshot) {
    return snapshot.asOf() >= scannedFrom - 1;
  }

  /** Returns the offset from which to continue after starting from a snapshot at an offset. */
  long replayOffset(Snapshot snapshot, long offset) {
    return snapshot.asOf() + 1;
  }
}
