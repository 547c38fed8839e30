package org.tanagerbank.http;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.primitives.Bytes;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/**
 * Guards against events that are lost or changed. This happens when the stream is split inside an
 * event, a line ending or a character, and the reader does not carry its state to the next chunk.
 */
final class ServerSentEventsProperties {
  private static List<ServerSentEvents.Event> read(byte[] stream, int chunkBytes) {
    List<ServerSentEvents.Event> events = new ArrayList<>();
    ServerSentEvents.Reader reader = ServerSentEvents.reader(events::add);
    for (int i = 0; i < stream.length; i += chunkBytes) {
      reader.read(Arrays.copyOfRange(stream, i, Math.min(stream.length, i + chunkBytes)));
    }
    return events;
  }

  @Property(seed = "4711")
  void eventsDoNotDependOnHowTheStreamIsSplit(
      @ForAll @Size(max = 5) List<String> texts,
      @ForAll @IntRange(min = 1, max = 9) int chunkBytes) {
    List<ServerSentEvents.Event> expected = new ArrayList<>();
    byte[] stream = new byte[0];
    for (String text : texts) {
      String data = text.replace('\r', ' ').replaceAll("[\\ud800-\\udfff]", "?");
      expected.add(new ServerSentEvents.Event("message", data));
      stream = Bytes.concat(stream, ServerSentEvents.data(data));
    }
    stream = Bytes.concat(stream, ServerSentEvents.event("error", "x"));
    expected.add(new ServerSentEvents.Event("error", "x"));
    assertThat(read(stream, chunkBytes)).isEqualTo(expected);
  }

  @Test
  void commentsAndIncompleteEventsAreSkippedWithAnyLineEnding() {
    byte[] stream =
        ": comment\r\ndata:a\r\ndata: b\r\n\r\nid: 1\n\ndata: cut"
            .getBytes(java.nio.charset.StandardCharsets.UTF_8);
    assertThat(read(stream, 1)).containsExactly(new ServerSentEvents.Event("message", "a\nb"));
  }
}
