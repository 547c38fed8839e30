package org.tanagerbank.entry;

import com.google.protobuf.ByteString;
import java.util.List;
import org.tanagerbank.answer.AnswerAssembler;
import org.tanagerbank.answer.AnswerDecision;
import org.tanagerbank.contract.TanagerException;

/**
 * The response to one caller, from the pieces of the answer.
 *
 * <p>A streamed answer is passed on as it arrives. Any other answer is held until it is whole, so
 * that it can still be replaced, unless it is longer than the window. Pure decision code; not
 * thread-safe.
 */
final class ResponseAssembly {
  /** Bytes of one answer that the entry holds for the caller at most. */
  static final int WINDOW_BYTES = 256 << 10;

  /**
   * Bytes after which an answer that is not streamed is passed on unfinished. Below the window, so
   * that a sender whose next piece does not fit into the rest of its credit does not wait forever.
   */
  private static final int HELD_BYTES = WINDOW_BYTES * 3 / 4;

  private static final int OK = 200;
  private static final int FIRST_ERROR_STATUS = 300;
  private static final String EVENT_STREAM = "text/event-stream";
  private static final String JSON = "application/json";

  private final boolean streamed;
  private final AnswerAssembler assembler = new AnswerAssembler(WINDOW_BYTES);
  private ByteString held = ByteString.EMPTY;
  private int httpStatus;
  private String contentType = "";
  private boolean begun;
  private boolean dropping;

  ResponseAssembly(boolean streamed) {
    this.streamed = streamed;
  }

  /** Begins an attempt and returns its credit. */
  long attempt(int number) {
    return assembler.begin(number);
  }

  long position() {
    return assembler.position();
  }

  /** Returns whether the caller has seen part of the answer. */
  boolean hasBegun() {
    return begun;
  }

  /** Forgets the answer so far, which the caller has not seen. */
  void restart() {
    assembler.restart();
    held = ByteString.EMPTY;
    httpStatus = 0;
    contentType = "";
  }

  /** Drops all further bytes, because the caller has gone. */
  void drop() {
    dropping = true;
    held = ByteString.EMPTY;
    assembler.taken(assembler.waitingBytes());
  }

  /** Takes a piece, adds what follows for the caller, and returns what the assembler decided. */
  AnswerDecision piece(FlowEvent.Piece piece, List<FlowAction> out) {
    AnswerDecision decision = assembler.chunk(piece.attempt(), piece.position(), piece.data());
    if (decision instanceof AnswerDecision.Deliver deliver) {
      deliver(deliver.data(), piece, out);
    }
    return decision;
  }

  private void deliver(ByteString data, FlowEvent.Piece piece, List<FlowAction> out) {
    if (dropping) {
      assembler.taken(data.size());
      return;
    }
    if (httpStatus == 0 && piece.httpStatus() != 0) {
      httpStatus = piece.httpStatus();
      contentType = piece.contentType();
    }
    if (begun) {
      out.add(new FlowAction.Deliver(data));
      return;
    }
    held = held.concat(data);
    boolean passOn = streamed && httpStatus < FIRST_ERROR_STATUS;
    if (passOn || held.size() >= HELD_BYTES) {
      begun = true;
      out.add(new FlowAction.Begin(statusOr(OK), typeOr(streamed ? EVENT_STREAM : JSON)));
      out.add(new FlowAction.Deliver(held));
      held = ByteString.EMPTY;
    }
  }

  /** Takes the end mark, adds what follows for the caller, and returns the decision. */
  AnswerDecision end(FlowEvent.Ended end, List<FlowAction> out) {
    AnswerDecision decision = assembler.end(end.attempt(), end.totalBytes());
    if (decision instanceof AnswerDecision.Complete && !dropping) {
      httpStatus = end.httpStatus() != 0 ? end.httpStatus() : httpStatus;
      contentType = end.contentType().isEmpty() ? contentType : end.contentType();
      out.add(
          begun ? new FlowAction.Finish() : new FlowAction.Reply(statusOr(OK), typeOr(JSON), held));
    }
    return decision;
  }

  /** Ends the response with an error. */
  void fail(TanagerException error, List<FlowAction> out) {
    if (!dropping) {
      out.add(new FlowAction.Fail(error));
    }
  }

  void taken(long bytes) {
    assembler.taken(bytes);
  }

  /** Returns the credit to grant now, or 0. */
  long grant() {
    return assembler.grant();
  }

  private int statusOr(int fallback) {
    return httpStatus != 0 ? httpStatus : fallback;
  }

  private String typeOr(String fallback) {
    return contentType.isEmpty() ? fallback : contentType;
  }
}
