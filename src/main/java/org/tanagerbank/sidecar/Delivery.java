package org.tanagerbank.sidecar;

import com.google.protobuf.UnsafeByteOperations;
import org.tanagerbank.ledger.AnswerBuffer;
import org.tanagerbank.link.Link;
import org.tanagerbank.proto.LinkProto.Chunk;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.proto.LinkProto.RequestRef;

/**
 * Delivers an answer to one attempt of a request of an entry.
 *
 * <p>Sends no more bytes than the entry granted credit for, and nothing while the link's send
 * buffer is full. Not thread-safe; guarded by the monitor of its {@link UpstreamRun}.
 */
final class Delivery {
  /** The most data bytes in one Chunk, small enough that answers share a link evenly. */
  private static final int CHUNK_BYTES = 32 << 10;

  private final LinkSession session;
  private final RequestRef ref;
  private final int attempt;
  private long position;
  private long creditBytes;
  private boolean firstChunkSent;

  Delivery(LinkSession session, RequestRef ref, int attempt, long position, long creditBytes) {
    this.session = session;
    this.ref = ref;
    this.attempt = attempt;
    this.position = position;
    this.creditBytes = Math.max(0, creditBytes);
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

  /** Returns the position in the answer after the last byte that was sent. */
  long position() {
    return position;
  }

  /** Adds credit for a number of bytes; the sum is capped at {@code Long.MAX_VALUE}. */
  void addCredit(long bytes) {
    long sum = creditBytes + Math.max(0, bytes);
    creditBytes = sum < creditBytes ? Long.MAX_VALUE : sum;
  }

  /**
   * Sends what the credit and the link permit. The first Chunk also contains the HTTP status and
   * the content type of the answer.
   *
   * @throws org.tanagerbank.request.TanagerException if the bytes at the position are no longer
   *     kept, or the position is beyond the answer
   */
  void sendAvailable(AnswerBuffer answer, int httpStatus, String contentType) {
    Link link = session.link();
    while (position < answer.length() && creditBytes > 0 && link.isWritable()) {
      byte[] data = answer.read(position, (int) Math.min(creditBytes, CHUNK_BYTES));
      long chunkPosition = position;
      position += data.length;
      creditBytes -= data.length;
      Chunk.Builder chunk =
          Chunk.newBuilder()
              .setRequest(ref)
              .setAttempt(attempt)
              .setPosition(chunkPosition)
              .setData(UnsafeByteOperations.unsafeWrap(data));
      if (!firstChunkSent) {
        chunk.setHttpStatus(httpStatus).setContentType(contentType);
        firstChunkSent = true;
      }
      link.send(Frame.newBuilder().setChunk(chunk).build());
    }
  }
}
