package org.tanagerbank.config;

import java.util.Optional;
import org.tanagerbank.adoption.ConfigRecord;
import org.tanagerbank.adoption.ConfigRecord.Publish;
import org.tanagerbank.adoption.ConfigRecordCodec;
import org.tanagerbank.adoption.ConfigReplica;
import org.tanagerbank.adoption.RecordDecision;
import org.tanagerbank.adoption.RecordDecision.Outcome;
import org.tanagerbank.backing.LogService;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.contract.Verdict;
import org.tanagerbank.declaration.DeclarationParser;
import org.tanagerbank.declaration.ParsedDeclaration;

/**
 * Publishes a declaration: appends a record and reads the log up to it to learn the result.
 *
 * <p>When the answer to an append is lost, the record is looked for by its publish id before it is
 * appended again. Two copies do no harm, because the second is a repeat. Thread-safe.
 */
public final class ConfigPublisher {
  private final LogService log;
  private final long timeoutMillis;

  /**
   * Creates a publisher.
   *
   * @param timeoutMillis how long a publish may take, outages of the log included
   */
  public ConfigPublisher(LogService log, long timeoutMillis) {
    this.log = log;
    this.timeoutMillis = timeoutMillis;
  }

  /**
   * Publishes a text and returns what became of it.
   *
   * @throws TanagerException with code {@code LOG_UNAVAILABLE} when the result is not known in
   *     time; its verdict is {@code MAY_HAVE_RUN} when the record may be on the log
   */
  public PublishResult publish(Publish publish) throws InterruptedException {
    ParsedDeclaration parsed = DeclarationParser.parse(publish.text());
    if (!parsed.isValid()) {
      return new PublishResult.Invalid(parsed.faults());
    }
    Attempt attempt = new Attempt(publish);
    Optional<PublishResult> known = attempt.alreadyKnown();
    return known.isPresent() ? known.get() : attempt.appendUntilDecided();
  }

  /** One publish from start to end. Not thread-safe. */
  private final class Attempt {
    private final Publish publish;
    private final ConfigLog reader = ConfigLog.ofRecent(log, timeoutMillis);
    private long earlierRevision;
    private boolean mayBeOnLog;
    private RecordDecision own;

    Attempt(Publish publish) {
      this.publish = publish;
    }

    Optional<PublishResult> alreadyKnown() throws InterruptedException {
      reader.readState(
          d -> {
            if (isOwn(d) && d.outcome() == Outcome.ACCEPTED) {
              earlierRevision = d.revision();
            }
          });
      ConfigReplica replica = reader.replica();
      if (replica.inForce().publishId().equals(publish.publishId())) {
        earlierRevision = replica.inForce().revision();
      }
      if (earlierRevision > 0) {
        return Optional.of(new PublishResult.Repeat(earlierRevision));
      }
      return replica.inForce().revision() == publish.base()
          ? Optional.empty()
          : Optional.of(new PublishResult.Lost(replica.inForce()));
    }

    PublishResult appendUntilDecided() throws InterruptedException {
      byte[] data = ConfigRecordCodec.encode(publish);
      boolean confirmed = false;
      while (own == null) {
        if (!confirmed) {
          confirmed = append(data);
        } else {
          // The record must come, though the log may show it late.
          reader.pause(withVerdict("the log does not show the record"));
        }
        lookForOwn();
      }
      return result();
    }

    private boolean append(byte[] data) throws InterruptedException {
      try {
        log.append(ConfigRecord.STREAM, data);
        mayBeOnLog = true;
        return true;
      } catch (TanagerException e) {
        mayBeOnLog |= e.verdict() == Verdict.MAY_HAVE_RUN;
        reader.pause(withVerdict(e.getMessage()));
        return false;
      }
    }

    private void lookForOwn() throws InterruptedException {
      try {
        reader.readToEnd(
            d -> {
              if (own == null && isOwn(d) && d.outcome() != Outcome.UNDECIDED) {
                own = d;
              }
            });
      } catch (TanagerException e) {
        throw withVerdict(e.getMessage());
      }
    }

    private boolean isOwn(RecordDecision decision) {
      return decision.record() instanceof Publish other
          && other.publishId().equals(publish.publishId());
    }

    private PublishResult result() {
      return switch (own.outcome()) {
        case ACCEPTED -> new PublishResult.Accepted(own.revision());
        case REPEAT -> new PublishResult.Repeat(own.revision());
        case INVALID -> new PublishResult.Invalid(own.faults());
        default -> new PublishResult.Lost(own.inForce());
      };
    }

    private TanagerException withVerdict(String cause) {
      if (!mayBeOnLog) {
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
