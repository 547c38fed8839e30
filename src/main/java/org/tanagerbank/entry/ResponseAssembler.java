package org.tanagerbank.entry;

import com.google.protobuf.ByteString;
import java.util.List;
import org.tanagerbank.answer.AnswerAssembler;
import org.tanagerbank.answer.AnswerDecision;
import org.tanagerbank.request.TanagerException;

/**
 * Assembles the response to one caller from the pieces of the answer.
 *
 * <p>A streamed answer is passed on as it arrives, unless its status is 300 or above. Any other
 * answer is buffered until it is complete, so that it can still be replaced by another attempt,
 * unless it reaches three quarters of the window. This class performs no I/O and reads no clock.
 * Not thread-safe.
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
  private final AnswerAssembler assembler = new AnswerAssembler(WINDOW_BYTES);
  private ByteString buffered = ByteString.EMPTY;
  private int httpStatus;
  private String contentType = "";
  private boolean begun;
  private boolean discarding;

  ResponseAssembler(boolean streamed) {
    this.streamed = streamed;
  }

  /** Begins an attempt and returns its initial credit in bytes. */
  long attempt(int number) {
    return assembler.beginAttempt(number);
  }

  /** Returns the byte position from which the answer continues. */
  long position() {
    return assembler.position();
  }

  /**
   * Returns whether the response to the caller has begun, so that the answer can no longer be
   * replaced.
   */
  boolean hasBegun() {
    return begun;
  }

  /** Discards the answer received so far. Must not be called once the response has begun. */
  void restart() {
    assembler.restart();
    buffered = ByteString.EMPTY;
    httpStatus = 0;
    contentType = "";
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
    AnswerDecision decision = assembler.onChunk(chunk.attempt(), chunk.position(), chunk.data());
    if (decision instanceof AnswerDecision.Deliver deliver) {
      deliver(deliver.data(), chunk, out);
    }
    return decision;
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
    if (begun) {
      out.add(new FlowAction.WriteBody(data));
      return;
    }
    buffered = buffered.concat(data);
    boolean isPassedOn = streamed && httpStatus < FIRST_ERROR_STATUS;
    if (isPassedOn || buffered.size() >= MAX_BUFFERED_BYTES) {
      begun = true;
      out.add(new FlowAction.Begin(statusOr(OK), typeOr(streamed ? EVENT_STREAM : JSON)));
      out.add(new FlowAction.WriteBody(buffered));
      buffered = ByteString.EMPTY;
    }
  }

  /**
   * Processes the end mark, adds the resulting action, and returns the decision of the assembler.
   */
  AnswerDecision end(FlowEvent.AnswerEnded end, List<FlowAction> out) {
    AnswerDecision decision = assembler.onEnd(end.attempt(), end.totalBytes());
    if (decision instanceof AnswerDecision.Complete && !discarding) {
      httpStatus = end.httpStatus() != 0 ? end.httpStatus() : httpStatus;
      contentType = end.contentType().isEmpty() ? contentType : end.contentType();
      out.add(
          begun
              ? new FlowAction.Finish()
              : new FlowAction.SendResponse(statusOr(OK), typeOr(JSON), buffered));
    }
    return decision;
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
