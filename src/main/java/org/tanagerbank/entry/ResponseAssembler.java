package org.tanagerbank.entry;

import com.google.protobuf.ByteString;
import java.util.List;
import org.tanagerbank.answer.AnswerAssembler;
import org.tanagerbank.answer.AnswerDecision;
import org.tanagerbank.answer.PrefixVerifier;
import org.tanagerbank.answer.UsageEvents;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;

/**
 * Assembles the response to one caller from the pieces of the answer.
 *
 * <p>A streamed answer is passed on as it arrives, unless its status is 300 or above. Any other
 * answer is buffered until it is complete, so that it can still be replaced by another attempt,
 * unless it reaches three quarters of the window.
 *
 * <p>The answer to a deterministic request is continued with another run only if that run begins
 * with all bytes passed on, so a whole answer is the answer of one run. Because runs may differ in
 * their usage counts, the last event of a stream is not passed on before the end of the answer if
 * it has such counts. This class performs no I/O and reads no clock. Not thread-safe.
 */
final class ResponseAssembler {
  /** The most bytes of one answer that the entry holds for the caller. */
  static final int WINDOW_BYTES = 256 << 10;

  /**
   * The number of buffered bytes from which an answer that is not streamed is passed on incomplete.
   * The limit is less than the window. Otherwise a sender whose next chunk does not fit into its
   * remaining credit would wait forever.
   */
  private static final int MAX_BUFFERED_BYTES = WINDOW_BYTES * 3 / 4;

  private static final int OK = 200;
  private static final int FIRST_ERROR_STATUS = 300;
  private static final String EVENT_STREAM = "text/event-stream";
  private static final String JSON = "application/json";

  private final boolean streamed;
  private final boolean deterministic;
  private final PrefixVerifier prefix = new PrefixVerifier();
  private final AnswerAssembler assembler = new AnswerAssembler(WINDOW_BYTES);
  private ByteString buffered = ByteString.EMPTY;
  private int httpStatus;
  private String contentType = "";
  private boolean begun;
  private boolean discarding;
  private boolean runDiffers;

  /**
   * Creates an assembler.
   *
   * @param deterministic whether another run is expected to give the same bytes, except for usage
   */
  ResponseAssembler(boolean streamed, boolean deterministic) {
    this.streamed = streamed;
    this.deterministic = deterministic;
  }

  /** Begins an attempt and returns its initial credit in bytes. */
  long attempt(int number) {
    return assembler.beginAttempt(number);
  }

  /** Returns the byte position from which the current run is to be sent. */
  long position() {
    return prefix.isReplaying() ? prefix.position() : assembler.position();
  }

  /** Returns whether another run may provide the answer. */
  boolean canRestart() {
    return !begun || (deterministic && !runDiffers);
  }

  /**
   * Prepares for another run. Discards the answer received so far or, if the response has begun,
   * what was not passed on of it. Then the run has to begin with the bytes that were passed on.
   */
  void restart() {
    if (begun) {
      assembler.rewind(buffered.size());
      prefix.beginReplay();
    } else {
      assembler.restart();
      httpStatus = 0;
      contentType = "";
    }
    buffered = ByteString.EMPTY;
  }

  /**
   * Discards the buffered bytes and all further bytes, because the caller has closed its
   * connection.
   */
  void drop() {
    discarding = true;
    buffered = ByteString.EMPTY;
    assembler.consume(assembler.unconsumedBytes());
  }

  /**
   * Processes a chunk of the answer, adds the resulting actions, and returns the decision of the
   * assembler.
   */
  AnswerDecision onChunk(FlowEvent.AnswerChunk chunk, List<FlowAction> out) {
    PrefixVerifier.Result replayed = prefix.replay(chunk.position(), chunk.data());
    if (replayed == PrefixVerifier.Result.GAP) {
      String message = "chunk starts at byte " + chunk.position() + " of a replay at " + position();
      return new AnswerDecision.Failed(ErrorCode.FRAME_OUT_OF_ORDER, message);
    }
    if (replayed == PrefixVerifier.Result.DIFFERS) {
      return runDiffers("another run began with other bytes than those delivered");
    }
    AnswerDecision decision = assembler.onChunk(chunk.attempt(), chunk.position(), chunk.data());
    if (decision instanceof AnswerDecision.Deliver deliver) {
      deliver(deliver.data(), chunk, out);
    }
    return decision;
  }

  private AnswerDecision runDiffers(String message) {
    runDiffers = true;
    return new AnswerDecision.Failed(ErrorCode.INCOMPLETE, message);
  }

  private void deliver(ByteString data, FlowEvent.AnswerChunk chunk, List<FlowAction> out) {
    if (discarding) {
      assembler.consume(data.size());
      return;
    }
    if (httpStatus == 0 && chunk.httpStatus() != 0) {
      httpStatus = chunk.httpStatus();
      contentType = chunk.contentType();
    }
    buffered = buffered.concat(data);
    int passable = passableBytes();
    if (passable > 0) {
      begin(out);
      pass(passable, out);
    }
  }

  /** Returns how many of the buffered bytes are passed on before the end of the answer. */
  private int passableBytes() {
    boolean isPassedOn = begun || (streamed && httpStatus < FIRST_ERROR_STATUS);
    if (buffered.size() >= MAX_BUFFERED_BYTES) {
      return buffered.size();
    }
    if (!isPassedOn) {
      return 0;
    }
    return deterministic && contentType.startsWith(EVENT_STREAM)
        ? UsageEvents.endOfEventsBeforeUsage(buffered)
        : buffered.size();
  }

  private void begin(List<FlowAction> out) {
    if (!begun) {
      begun = true;
      out.add(new FlowAction.Begin(statusOr(OK), typeOr(streamed ? EVENT_STREAM : JSON)));
    }
  }

  private void pass(int bytes, List<FlowAction> out) {
    ByteString data = buffered.substring(0, bytes);
    buffered = buffered.substring(bytes);
    if (deterministic) {
      prefix.pass(data);
    }
    out.add(new FlowAction.WriteBody(data));
  }

  /**
   * Processes the end mark, adds the resulting action, and returns the decision of the assembler.
   */
  AnswerDecision end(FlowEvent.AnswerEnded end, List<FlowAction> out) {
    if (prefix.isReplaying() && end.totalBytes() < assembler.position()) {
      return runDiffers("another run ended before the last byte delivered");
    }
    AnswerDecision decision = assembler.onEnd(end.attempt(), end.totalBytes());
    if (decision instanceof AnswerDecision.Complete && !discarding) {
      httpStatus = end.httpStatus() != 0 ? end.httpStatus() : httpStatus;
      contentType = end.contentType().isEmpty() ? contentType : end.contentType();
      complete(out);
    }
    return decision;
  }

  private void complete(List<FlowAction> out) {
    if (!begun) {
      out.add(new FlowAction.SendResponse(statusOr(OK), typeOr(JSON), buffered));
      return;
    }
    if (!buffered.isEmpty()) {
      pass(buffered.size(), out);
    }
    out.add(new FlowAction.Finish());
  }

  /**
   * Adds the action that ends the response with an error, unless the caller has closed its
   * connection.
   */
  void fail(TanagerException error, List<FlowAction> out) {
    if (!discarding) {
      out.add(new FlowAction.Fail(error));
    }
  }

  /** Records that the caller's connection consumed bytes. */
  void consume(long bytes) {
    assembler.consume(bytes);
  }

  /** Returns the credit in bytes to grant to the sender now, or 0. */
  long grant() {
    return assembler.takeGrant();
  }

  private int statusOr(int fallback) {
    return httpStatus != 0 ? httpStatus : fallback;
  }

  private String typeOr(String fallback) {
    return contentType.isEmpty() ? fallback : contentType;
  }
}
