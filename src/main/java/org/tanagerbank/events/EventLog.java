package org.tanagerbank.events;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Writes events of the catalogue as one JSON object a line on standard error.
 *
 * <p>Thread-safe.
 */
public final class EventLog {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private EventLog() {}

  /** Sets up the log output of the process. */
  public static void install() {
    LogManager.getLogManager().reset();
    ConsoleHandler handler = new ConsoleHandler();
    handler.setFormatter(new LineFormatter());
    Logger.getLogger("").addHandler(handler);
  }

  /**
   * Logs an event with its fields.
   *
   * @param fields names and values in turn
   * @throws IllegalArgumentException if a name has no value
   */
  public static void emit(LogEvent event, Object... fields) {
    emit(event, null, fields);
  }

  /** Logs an event with its fields and the exception that caused it. */
  public static void emit(LogEvent event, Throwable cause, Object... fields) {
    checkArgument(fields.length % 2 == 0, "field %s has no value", fields.length);
    LOGGER.at(event.level()).withCause(cause).log("%s", new Line(event, fields));
  }

  private record Line(LogEvent event, Object[] fields) {
    @Override
    public String toString() {
      Map<String, Object> line = new LinkedHashMap<>();
      line.put("event", event.id());
      line.put("name", event.name());
      for (int i = 0; i < fields.length; i += 2) {
        Object value = fields[i + 1];
        line.put(String.valueOf(fields[i]), value instanceof Number ? value : "" + value);
      }
      return json(line);
    }
  }

  private static String json(Map<String, Object> line) {
    try {
      return MAPPER.writeValueAsString(line);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  private static final class LineFormatter extends Formatter {
    @Override
    public String format(LogRecord record) {
      Map<String, Object> head = new LinkedHashMap<>();
      head.put("time", record.getInstant().toString());
      head.put("level", record.getLevel().getName());
      if (record.getThrown() != null) {
        head.put("cause", record.getThrown().toString());
      }
      String message = formatMessage(record);
      if (!message.startsWith("{")) {
        head.put("message", message);
        return json(head) + "\n";
      }
      String open = json(head);
      return open.substring(0, open.length() - 1) + "," + message.substring(1) + "\n";
    }
  }
}
