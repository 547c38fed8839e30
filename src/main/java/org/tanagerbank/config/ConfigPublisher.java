package org.tanagerbank.config;

import java.util.Optional;
import org.tanagerbank.configreplica.ConfigRecord;
import org.tanagerbank.configreplica.ConfigRecord.Publish;
import org.tanagerbank.configreplica.ConfigRecordCodec;
import org.tanagerbank.configreplica.ConfigReplica;
import org.tanagerbank.configreplica.RecordDecision;
import org.tanagerbank.configreplica.RecordDecision.Outcome;
import org.tanagerbank.declaration.DeclarationParser;
import org.tanagerbank.declaration.ParsedDeclaration;
import org.tanagerbank.platformclient.LogService;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.request.Verdict;

/**
 * Publishes declarations: appends a Publish record to the log and reads the log up to that record
 * to determine its outcome.
 *
 * <p>If the response to an append is lost, the publisher searches the log for the publish id before
 * it appends the record again. Two copies of a record do no harm, because the second one counts as
 * a repeat. Thread-safe.
 */
public final class ConfigPublisher {
  private final LogService log;
  private final long timeoutMillis;

  /**
   * Creates a publisher.
   *
   * @param timeoutMillis how long one publish may take in milliseconds, including outages of the
   *     log
   */
  public ConfigPublisher(LogService log, long timeoutMillis) {
    this.log = log;
    this.timeoutMillis = timeoutMillis;
  }

  /**
   * Publishes a text and returns the result. An invalid text is not appended to the log.
   *
   * @throws TanagerException with code {@code LOG_UNAVAILABLE} if the result could not be
   *     determined in time; its verdict is {@code MAY_HAVE_RUN} if the record may have been
   *     appended
   * @throws TanagerException with code {@code NO_CONFIGURATION} if the retained records do not
   *     determine the revision in force
   */
  public PublishResult publish(Publish publish) throws InterruptedException {
    ParsedDeclaration parsed = DeclarationParser.parse(publish.text());
    if (!parsed.isValid()) {
      return new PublishResult.Invalid(parsed.faults());
    }
    PublishOperation operation = new PublishOperation(publish);
    Optional<PublishResult> existing = operation.findExistingResult();
    return existing.isPresent() ? existing.get() : operation.appendUntilDecided();
  }

  /** The state of one call to {@link #publish}. Not thread-safe. */
  private final class PublishOperation {
    private final Publish publish;
    private final ConfigLogReader reader = ConfigLogReader.ofRecent(log, timeoutMillis);
    private long acceptedRevision;
    private boolean mayBeAppended;
    private RecordDecision ownDecision;

    PublishOperation(Publish publish) {
      this.publish = publish;
    }

    /**
     * Reads the log, and returns a result if no append is needed: the publish id was accepted
     * before, or the base is not the revision in force.
     */
    Optional<PublishResult> findExistingResult() throws InterruptedException {
      reader.readKnownState(
          d -> {
            if (isOwn(d) && d.outcome() == Outcome.ACCEPTED) {
              acceptedRevision = d.revision();
            }
          });
      ConfigReplica replica = reader.replica();
      if (replica.inForce().publishId().equals(publish.publishId())) {
        acceptedRevision = replica.inForce().revision();
      }
      if (acceptedRevision > 0) {
        return Optional.of(new PublishResult.Repeat(acceptedRevision));
      }
      return replica.inForce().revision() == publish.base()
          ? Optional.empty()
          : Optional.of(new PublishResult.BaseOutdated(replica.inForce()));
    }

    PublishResult appendUntilDecided() throws InterruptedException {
      byte[] data = ConfigRecordCodec.encode(publish);
      boolean appended = false;
      while (ownDecision == null) {
        if (!appended) {
          appended = append(data);
        } else {
          // The append was confirmed, so reads will return the record, possibly after a delay.
          reader.backOff(unavailable("reads of the log do not return the appended record yet"));
        }
        findOwnDecision();
      }
      return result();
    }

    private boolean append(byte[] data) throws InterruptedException {
      try {
        log.append(ConfigRecord.STREAM, data);
        mayBeAppended = true;
        return true;
      } catch (TanagerException e) {
        mayBeAppended |= e.verdict() == Verdict.MAY_HAVE_RUN;
        reader.backOff(unavailable(e.getMessage()));
        return false;
      }
    }

    private void findOwnDecision() throws InterruptedException {
      try {
        reader.readToEnd(
            d -> {
              if (ownDecision == null && isOwn(d) && d.outcome() != Outcome.UNDECIDED) {
                ownDecision = d;
              }
            });
      } catch (TanagerException e) {
        throw unavailable(e.getMessage());
      }
    }

    private boolean isOwn(RecordDecision decision) {
      return decision.record() instanceof Publish other
          && other.publishId().equals(publish.publishId());
    }

    private PublishResult result() {
      return switch (ownDecision.outcome()) {
        case ACCEPTED -> new PublishResult.Accepted(ownDecision.revision());
        case REPEAT -> new PublishResult.Repeat(ownDecision.revision());
        case INVALID -> new PublishResult.Invalid(ownDecision.faults());
        default -> new PublishResult.BaseOutdated(ownDecision.inForce());
      };
    }

    private TanagerException unavailable(String cause) {
      if (!mayBeAppended) {
        return TanagerException.notRun(
            ErrorCode.LOG_UNAVAILABLE, cause + "; nothing was published");
      }
      return TanagerException.mayHaveRun(
          ErrorCode.LOG_UNAVAILABLE,
          cause
              + "; the text may have been published; to find out, publish again with --publish-id "
              + publish.publishId());
    }
  }
}
