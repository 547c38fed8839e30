package org.tanagerbank.config;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.tanagerbank.adoption.AcceptedText;
import org.tanagerbank.adoption.ConfigRecord.Publish;
import org.tanagerbank.adoption.ConfigRecord.Snapshot;
import org.tanagerbank.adoption.RecordDecision;
import org.tanagerbank.adoption.RecordDecision.Outcome;
import org.tanagerbank.declaration.Declaration;
import org.tanagerbank.declaration.DeclarationParser;

/**
 * What the retained part of the log tells about the configuration.
 *
 * <p>Immutable and thread-safe.
 */
public final class ConfigHistory {
  private final ImmutableList<Entry> entries;
  private final AcceptedText inForce;
  private final List<AcceptedText> texts;

  /**
   * One Publish record.
   *
   * @param offset its offset, which is the revision when it was accepted
   * @param timeMillis when the log accepted it
   * @param publishId its publish id
   * @param base the revision it changed
   * @param operator who published it
   * @param outcome what it did
   */
  public record Entry(
      long offset,
      long timeMillis,
      String publishId,
      long base,
      String operator,
      Outcome outcome) {}

  private ConfigHistory(
      ImmutableList<Entry> entries, AcceptedText inForce, List<AcceptedText> texts) {
    this.entries = entries;
    this.inForce = inForce;
    this.texts = texts;
  }

  /**
   * Reads the log.
   *
   * @param wanted the revisions whose texts are kept
   * @throws org.tanagerbank.contract.TanagerException if the revision in force does not follow from
   *     the retained log
   */
  public static ConfigHistory read(ConfigLog log, List<Long> wanted) throws InterruptedException {
    ConfigHistory history = list(log, wanted);
    log.requireState();
    return history;
  }

  /** Reads the log for its publishes only; the revision in force may remain unknown. */
  public static ConfigHistory list(ConfigLog log) throws InterruptedException {
    return list(log, List.of());
  }

  private static ConfigHistory list(ConfigLog log, List<Long> wanted) throws InterruptedException {
    TreeMap<Long, Entry> entries = new TreeMap<>();
    List<AcceptedText> texts = new ArrayList<>();
    log.readToEnd(
        decision -> {
          addEntry(entries, decision);
          addText(texts, decision, wanted);
        });
    AcceptedText inForce = log.replica().inForce();
    texts.add(inForce);
    return new ConfigHistory(ImmutableList.copyOf(entries.values()), inForce, List.copyOf(texts));
  }

  private static void addEntry(TreeMap<Long, Entry> entries, RecordDecision decision) {
    if (decision.record() instanceof Publish publish) {
      entries.put(
          decision.offset(),
          new Entry(
              decision.offset(),
              decision.timeMillis(),
              publish.publishId(),
              publish.base(),
              publish.operator(),
              decision.outcome()));
    }
  }

  private static void addText(
      List<AcceptedText> texts, RecordDecision decision, List<Long> wanted) {
    if (decision.outcome() == Outcome.ACCEPTED && wanted.contains(decision.offset())) {
      texts.add(decision.inForce());
    }
    if (decision.record() instanceof Snapshot snapshot && wanted.contains(snapshot.revision())) {
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

  /** Returns all retained Publish records in log order. */
  public ImmutableList<Entry> entries() {
    return entries;
  }

  /** Returns the text in force, {@link AcceptedText#NONE} when there is none or it is unknown. */
  public AcceptedText inForce() {
    return inForce;
  }

  /** Returns an accepted text that was wanted, if the log still holds it. Revision 0 is empty. */
  public Optional<AcceptedText> text(long revision) {
    checkArgument(revision >= 0, "revision must not be negative: %s", revision);
    return revision == 0
        ? Optional.of(AcceptedText.NONE)
        : texts.stream().filter(t -> t.revision() == revision).findFirst();
  }
}
