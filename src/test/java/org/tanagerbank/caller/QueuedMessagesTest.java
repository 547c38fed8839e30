package org.tanagerbank.caller;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

/** Guards against a caller that fills the memory with requests behind one that is handled. */
final class QueuedMessagesTest {
  private static final int PIECE_BYTES = 16 << 10;

  private final QueuedMessages queue = new QueuedMessages();

  private static HttpContent piece() {
    return new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[PIECE_BYTES]));
  }

  private static HttpRequest head() {
    HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x");
    head.headers().set("x", "x".repeat(PIECE_BYTES));
    return head;
  }

  private int messagesUntilFull(Supplier<Object> messages) {
    int number = 0;
    while (!queue.isFull()) {
      queue.add(messages.get());
      number++;
    }
    return number;
  }

  @Test
  void largePiecesAndHeadsAreBoundedByTheirBytes() {
    int most = QueuedMessages.MAX_BYTES / PIECE_BYTES;
    assertThat(messagesUntilFull(QueuedMessagesTest::piece)).isEqualTo(most);
    queue.clear();
    assertThat(messagesUntilFull(QueuedMessagesTest::head)).isAtMost(most);
  }

  @Test
  void emptyMessagesAreBoundedByTheirNumber() {
    assertThat(messagesUntilFull(() -> new DefaultHttpContent(Unpooled.EMPTY_BUFFER)))
        .isEqualTo(QueuedMessages.MAX_MESSAGES);
  }

  /** The connection would never read again. */
  @Test
  void emptiedQueueIsNotFull() {
    messagesUntilFull(QueuedMessagesTest::piece);
    HttpContent first = (HttpContent) queue.remove();
    assertThat(queue.isFull()).isFalse();
    assertThat(first.release()).isTrue();
    messagesUntilFull(QueuedMessagesTest::piece);
    while (!queue.isEmpty()) {
      ((HttpContent) queue.remove()).release();
    }
    assertThat(messagesUntilFull(QueuedMessagesTest::piece))
        .isEqualTo(QueuedMessages.MAX_BYTES / PIECE_BYTES);
  }
}
