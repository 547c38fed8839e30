package org.tanagerbank.sidecar;

import com.google.protobuf.UnsafeByteOperations;
import org.tanagerbank.ledger.AnswerBuffer;
import org.tanagerbank.link.Link;
import org.tanagerbank.proto.LinkProto.Chunk;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.proto.LinkProto.RequestRef;

/**
 * The delivery of one answer to one request of an entry, under the attempt that asked for it.
 *
 * <p>Sends no more than the entry gave credit for, and nothing while the link's send buffer is
 * full. Guarded by the monitor of its {@link ServedRequest}.
 */
final class Delivery {
  /** Data bytes of one Chunk; small enough that answers share a link evenly. */
  private static final int CHUNK_BYTES = 32 << 10;

  private final LinkSession session;
  private final RequestRef ref;
  private final int attempt;
  private long position;
  private long credit;
  private boolean begun;

  Delivery(LinkSession session, RequestRef ref, int attempt, long position, long credit) {
    this.session = session;
    this.ref = ref;
    this.attempt = attempt;
    this.position = position;
    this.credit = Math.max(0, credit);
  }

  LinkSession session() {
    return session;
  }

  RequestRef ref() {
    return ref;
  }

  int attempt() {
    return attempt;
  }

  long position() {
    return position;
  }

  void addCredit(long bytes) {
    long sum = credit + Math.max(0, bytes);
    credit = sum < credit ? Long.MAX_VALUE : sum;
  }

  /**
   * Sends what may be sent; the first Chunk tells the status and type of the whole answer.
   *
   * @throws org.tanagerbank.contract.TanagerException if the bytes are no longer kept
   */
  void pump(AnswerBuffer answer, int httpStatus, String contentType) {
    Link link = session.link();
    while (position < answer.length() && credit > 0 && link.isWritable()) {
      byte[] data = answer.read(position, (int) Math.min(credit, CHUNK_BYTES));
      long at = position;
      position += data.length;
      credit -= data.length;
      Chunk.Builder chunk =
          Chunk.newBuilder()
              .setRequest(ref)
              .setAttempt(attempt)
              .setPosition(at)
              .setData(UnsafeByteOperations.unsafeWrap(data));
      if (!begun) {
        chunk.setHttpStatus(httpStatus).setContentType(contentType);
        begun = true;
      }
      link.send(Frame.newBuilder().setChunk(chunk).build());
    }
  }
}
