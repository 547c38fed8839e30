package org.tanagerbank.http;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableMap;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Encodes and decodes server-sent events. Stateless and thread-safe, except {@link Reader}. */
public final class ServerSentEvents {
  /** The headers of a response with a stream of events. */
  public static final ImmutableMap<String, String> HEADERS =
      ImmutableMap.of("content-type", "text/event-stream", "cache-control", "no-store");

  /** The data of the event that ends a stream of chat completion chunks. */
  public static final String DONE = "[DONE]";

  private ServerSentEvents() {}

  /**
   * A decoded event.
   *
   * @param type the event type; {@code message} if the event has no type
   * @param data the data; lines are separated by a line feed
   */
  public record Event(String type, String data) {}

  /** Returns an encoded event without a type. */
  public static byte[] data(String data) {
    StringBuilder text = new StringBuilder();
    appendData(text, data);
    return text.toString().getBytes(StandardCharsets.UTF_8);
  }

  /** Returns an encoded event with a type. */
  public static byte[] event(String type, String data) {
    StringBuilder text = new StringBuilder("event: ").append(type).append('\n');
    appendData(text, data);
    return text.toString().getBytes(StandardCharsets.UTF_8);
  }

  private static void appendData(StringBuilder text, String data) {
    Splitter.on('\n').split(data).forEach(line -> text.append("data: ").append(line).append('\n'));
    text.append('\n');
  }

  /** Returns a reader that passes each complete event to a consumer. */
  public static Reader reader(Consumer<Event> consumer) {
    return new Reader(consumer);
  }

  /**
   * An incremental decoder of a stream of events, which may be split at any byte.
   *
   * <p>The reader passes an event to the consumer at the empty line that ends the event. It drops
   * an incomplete event at the end of the stream, as the format requires. Not thread-safe.
   */
  public static final class Reader {
    private final Consumer<Event> consumer;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();
    private String type = "";
    private boolean hasData;
    private boolean afterCarriageReturn;

    private Reader(Consumer<Event> consumer) {
      this.consumer = consumer;
    }

    /** Reads the next chunk of the stream. */
    public void read(byte[] chunk) {
      for (byte b : chunk) {
        boolean endsCrLf = afterCarriageReturn && b == '\n';
        afterCarriageReturn = b == '\r';
        if (endsCrLf) {
          continue;
        }
        if (b == '\n' || b == '\r') {
          endLine();
        } else {
          line.write(b);
        }
      }
    }

    private void endLine() {
      String text = line.toString(StandardCharsets.UTF_8);
      line.reset();
      if (text.isEmpty()) {
        endEvent();
        return;
      }
      int colon = text.indexOf(':');
      String field = colon < 0 ? text : text.substring(0, colon);
      String value = colon < 0 ? "" : text.substring(colon + 1);
      value = value.startsWith(" ") ? value.substring(1) : value;
      if (field.equals("data")) {
        data.append(hasData ? "\n" : "").append(value);
        hasData = true;
      } else if (field.equals("event")) {
        type = value;
      }
    }

    private void endEvent() {
      if (hasData) {
        consumer.accept(new Event(type.isEmpty() ? "message" : type, data.toString()));
      }
      data.setLength(0);
      hasData = false;
      type = "";
    }
  }
}
