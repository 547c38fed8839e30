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
 * Logs the events of {@link LogEvent}, each as a JSON object on a line of its own.
 *
 * <p>Thread-safe.
 */
public final class EventLog {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private EventLog() {}

  /** Configures logging of the process to standard error, in place of any earlier configuration. */
  public static void install() {
    install(new ConsoleHandler());
  }

  /**
   * Configures logging of the process to a stream without ever blocking the threads that log. Lines
   * over the rate limit of their event, and lines that do not fit into the queue, are dropped and
   * counted.
   */
  public static void installQueued(PrintStream out) {
    install(QueuedHandler.start(out, System::nanoTime));
  }

  /**
   * Removes the log output at the end of the process. A queued output first gets a short time to
   * write the lines in its queue.
   */
  public static void close() {
    LogManager.getLogManager().reset();
  }

  private static void install(Handler handler) {
    LogManager.getLogManager().reset();
    handler.setFormatter(new JsonFormatter());
    Logger.getLogger("").addHandler(handler);
  }

  /**
   * Logs an event with its fields.
   *
   * @param fields alternating names and values; a value that is not a {@link Number} is logged as a
   *     string
   * @throws IllegalArgumentException if the last name has no value
   */
  public static void emit(LogEvent event, Object... fields) {
    emit(event, null, fields);
  }

  /**
   * Logs an event with its fields and the exception that caused it.
   *
   * @param cause the exception, or null if there is none
   * @param fields alternating names and values
   */
  public static void emit(LogEvent event, Throwable cause, Object... fields) {
    checkArgument(
        fields.length % 2 == 0,
        "expected pairs of field name and value, got %s elements",
        fields.length);
    LOGGER.at(event.level()).withCause(cause).log("%s", new JsonMessage(event, fields));
  }

  /** Returns the log record of an event, for a handler that creates records itself. */
  static LogRecord record(LogEvent event, Object... fields) {
    return new LogRecord(event.level(), new JsonMessage(event, fields).toString());
  }

  private record JsonMessage(LogEvent event, Object[] fields) {
    @Override
    public String toString() {
      Map<String, Object> members = new LinkedHashMap<>();
      members.put("event", event.id());
      members.put("name", event.name());
      for (int i = 0; i < fields.length; i += 2) {
        Object value = fields[i + 1];
        members.put(String.valueOf(fields[i]), value instanceof Number ? value : "" + value);
      }
      return json(members);
    }
  }

  private static String json(Map<String, Object> members) {
    try {
      return MAPPER.writeValueAsString(members);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  private static final class JsonFormatter extends Formatter {
    @Override
    public String format(LogRecord record) {
      Map<String, Object> members = new LinkedHashMap<>();
      members.put("time", record.getInstant().toString());
      members.put("level", record.getLevel().getName());
      if (record.getThrown() != null) {
        members.put("cause", record.getThrown().toString());
      }
      String message = formatMessage(record);
      if (!message.startsWith("{")) {
        members.put("message", message);
        return json(members) + "\n";
      }
      String object = json(members);
      return object.substring(0, object.length() - 1) + "," + message.substring(1) + "\n";
    }
  }
}
