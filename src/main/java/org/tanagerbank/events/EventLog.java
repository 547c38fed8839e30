package org.tanagerbank.events;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
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

  /** Sets up the log output of the process, on standard error. */
  public static void install() {
    install(new ConsoleHandler());
  }

  /**
   * Sets up a log output that never blocks: lines beyond the budget of their event or the size of
   * the queue are counted and left out.
   */
  public static void installQueued(PrintStream out) {
    install(QueuedHandler.start(out, System::nanoTime));
  }

  /** Writes what is queued, as far as it is read at once; for the end of a process. */
  public static void close() {
    LogManager.getLogManager().reset();
  }

  private static void install(Handler handler) {
    LogManager.getLogManager().reset();
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

  /** Returns the record of an event, for a handler that writes one itself. */
  static LogRecord record(LogEvent event, Object... fields) {
    return new LogRecord(event.level(), new Line(event, fields).toString());
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
