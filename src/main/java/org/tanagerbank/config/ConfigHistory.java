package org.tanagerbank.config;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.tanagerbank.configreplica.AcceptedText;
import org.tanagerbank.configreplica.ConfigRecord.Publish;
import org.tanagerbank.configreplica.ConfigRecord.Snapshot;
import org.tanagerbank.configreplica.RecordDecision;
import org.tanagerbank.configreplica.RecordDecision.Outcome;
import org.tanagerbank.declaration.Declaration;
import org.tanagerbank.declaration.DeclarationParser;

/**
 * The history of the configuration, as far as the records that the log retains show it.
 *
 * <p>Immutable and thread-safe.
 */
public final class ConfigHistory {
  private final ImmutableList<PublishedRecord> entries;
  private final AcceptedText inForce;
  private final List<AcceptedText> texts;

  /**
   * A Publish record and its outcome.
   *
   * @param offset the offset of the record, which is also the revision if the record was accepted
   * @param timeMillis when the log appended the record, in milliseconds since the epoch
   * @param publishId the publish id of the record
   * @param base the revision that the published text is based on; 0 for none
   * @param operator the operator who published the text
   * @param outcome the effect of the record
   */
  public record PublishedRecord(
      long offset,
      long timeMillis,
      String publishId,
      long base,
      String operator,
      Outcome outcome) {}

  private ConfigHistory(
      ImmutableList<PublishedRecord> entries, AcceptedText inForce, List<AcceptedText> texts) {
    this.entries = entries;
    this.inForce = inForce;
    this.texts = texts;
  }

  /**
   * Reads the log to its end and returns the history, including the revision in force.
   *
   * @param requestedRevisions the revisions whose texts {@link #text} can return, besides the one
   *     in force
   * @throws org.tanagerbank.request.TanagerException if the log could not be read in time or
   *     contains a record of an unknown format version, or if its retained records do not determine
   *     the revision in force
   */
  public static ConfigHistory read(ConfigLogReader log, List<Long> requestedRevisions)
      throws InterruptedException {
    ConfigHistory history = readPublishes(log, requestedRevisions);
    log.requireKnownState();
    return history;
  }

  /**
   * Reads the log to its end and returns the history of its Publish records. Unlike {@link #read},
   * this method does not fail if the revision in force remains unknown.
   *
   * @throws org.tanagerbank.request.TanagerException if the log could not be read in time or
   *     contains a record of an unknown format version
   */
  public static ConfigHistory readPublishes(ConfigLogReader log) throws InterruptedException {
    return readPublishes(log, List.of());
  }

  private static ConfigHistory readPublishes(ConfigLogReader log, List<Long> requestedRevisions)
      throws InterruptedException {
    TreeMap<Long, PublishedRecord> entries = new TreeMap<>();
    List<AcceptedText> texts = new ArrayList<>();
    log.readToEnd(
        decision -> {
          addEntry(entries, decision);
          addText(texts, decision, requestedRevisions);
        });
    AcceptedText inForce = log.replica().inForce();
    texts.add(inForce);
    return new ConfigHistory(ImmutableList.copyOf(entries.values()), inForce, List.copyOf(texts));
  }

  private static void addEntry(TreeMap<Long, PublishedRecord> entries, RecordDecision decision) {
    if (decision.record() instanceof Publish publish) {
      entries.put(
          decision.offset(),
          new PublishedRecord(
              decision.offset(),
              decision.timeMillis(),
              publish.publishId(),
              publish.base(),
              publish.operator(),
              decision.outcome()));
    }
  }

  private static void addText(
      List<AcceptedText> texts, RecordDecision decision, List<Long> requestedRevisions) {
    if (decision.outcome() == Outcome.ACCEPTED && requestedRevisions.contains(decision.offset())) {
      texts.add(decision.inForce());
    }
    if (decision.record() instanceof Snapshot snapshot
        && requestedRevisions.contains(snapshot.revision())) {
      Optional<Declaration> parsed = DeclarationParser.parse(snapshot.text()).declaration();
      texts.add(
          new AcceptedText(
              snapshot.revision(),
              snapshot.publishId(),
              snapshot.operator(),
              snapshot.publishedAtMillis(),
              snapshot.text(),
              parsed));
    }
  }

  /** Returns all retained Publish records, ordered by offset. */
  public ImmutableList<PublishedRecord> entries() {
    return entries;
  }

  /**
   * Returns the text in force, or {@link AcceptedText#NONE} if no text was accepted yet or the text
   * in force is unknown.
   */
  public AcceptedText inForce() {
    return inForce;
  }

  /**
   * Returns the accepted text of a revision if it is in force, or if it was requested and the log
   * still contains it. Returns {@link AcceptedText#NONE} for revision 0.
   *
   * @throws IllegalArgumentException if the revision is negative
   */
  public Optional<AcceptedText> text(long revision) {
    checkArgument(revision >= 0, "revision must not be negative: %s", revision);
    return revision == 0
        ? Optional.of(AcceptedText.NONE)
        : texts.stream().filter(t -> t.revision() == revision).findFirst();
  }
}
