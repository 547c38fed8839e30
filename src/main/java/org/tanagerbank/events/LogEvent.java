package org.tanagerbank.events;

import java.util.logging.Level;

/**
 * The events that the processes log.
 *
 * <p>The number of a removed event is never reused. {@code docs/EVENTS.md} lists every event with
 * its cause and the action for the operator. Immutable and thread-safe.
 */
public enum LogEvent {
  // 1000-1099: start and stop of processes.
  PROCESS_STARTED(1001, Level.INFO),
  PROCESS_STOPPING(1002, Level.INFO),
  PROCESS_STOPPED(1003, Level.INFO),
  SETTINGS_INVALID(1004, Level.SEVERE),
  PORT_IN_USE(1005, Level.SEVERE),
  DRAIN_LIMIT_REACHED(1006, Level.WARNING),

  // 1100-1199: entry.
  ENTRY_READY(1101, Level.INFO),
  ENTRY_REQUEST_FAILED(1102, Level.SEVERE),
  ENTRY_REQUEST_CUT_OFF(1103, Level.WARNING),
  INSTANCE_LIST_UNREADABLE(1104, Level.WARNING),
  INSTANCE_LIST_READABLE(1105, Level.INFO),
  CLAIM_RECORD_INVALID(1106, Level.WARNING),
  ENTRY_CONTROL_FAILED(1107, Level.SEVERE),

  // 1200-1299: sidecar, ledger and engine.
  SIDECAR_READY(1201, Level.INFO),
  SIDECAR_LEAVING(1202, Level.INFO),
  REQUEST_CUT_OFF(1203, Level.WARNING),
  UPSTREAM_HEALTHY(1204, Level.INFO),
  UPSTREAM_UNHEALTHY(1205, Level.WARNING),
  UPSTREAM_CRASHED(1206, Level.SEVERE),
  REQUEST_QUARANTINED(1207, Level.WARNING),
  SIDECAR_CONFIGURED(1208, Level.INFO),
  SIDECAR_CONFIG_REJECTED(1209, Level.SEVERE),
  REPORTING_ENTRY_CHANGED(1210, Level.INFO),
  FRAME_UNEXPECTED(1211, Level.WARNING),
  QUARANTINE_RECORD_INVALID(1212, Level.WARNING),
  SIDECAR_TASK_FAILED(1213, Level.SEVERE),

  // 1300-1399: links.
  LINK_FRAME_REJECTED(1301, Level.WARNING),
  LINK_SILENT(1302, Level.WARNING),
  LINK_HANDLER_FAILED(1303, Level.SEVERE),

  // 1400-1499: configuration.
  CONFIG_ADOPTED(1401, Level.INFO),
  CONFIG_RECORD_IGNORED(1402, Level.INFO),
  CONFIG_RECORD_UNSUPPORTED(1403, Level.SEVERE),
  CONFIG_SNAPSHOT_APPENDED(1404, Level.INFO),
  CONFIG_SNAPSHOT_FAILED(1405, Level.WARNING),
  CONFIG_LISTENER_FAILED(1406, Level.SEVERE),
  CONFIG_READER_FAILED(1407, Level.SEVERE),

  // 1500-1599: membership and routing.
  UPSTREAMS_CHANGED(1501, Level.INFO),
  UPSTREAM_FOUND(1502, Level.INFO),
  UPSTREAM_DRAINING(1503, Level.INFO),
  UPSTREAM_GONE(1504, Level.INFO),
  UPSTREAM_PAUSED(1505, Level.INFO),
  UPSTREAM_LEAVING(1506, Level.INFO),
  UPSTREAM_LIMITED(1507, Level.INFO),
  UPSTREAM_UNLIMITED(1508, Level.INFO),
  UPSTREAM_REPLACED(1509, Level.INFO),
  UPSTREAM_SPEED_CHANGED(1515, Level.INFO),

  // 1600-1699: platform clients.
  LOG_OUTAGE_BEGAN(1601, Level.WARNING),
  LOG_OUTAGE_ENDED(1602, Level.INFO),

  // 1700-1799: HTTP.
  HTTP_HANDLER_FAILED(1701, Level.SEVERE),

  // 1800-1899: gateway.
  GATEWAY_READY(1801, Level.INFO),
  GATEWAY_NOT_READY(1802, Level.WARNING),
  REQUEST_PLACED(1803, Level.INFO),
  REQUEST_REJECTED(1804, Level.INFO),
  REQUEST_ATTEMPT_FAILED(1805, Level.INFO),
  REQUEST_ENDED(1806, Level.INFO),
  ROUTING_CONFIG_ADOPTED(1807, Level.INFO),
  ROUTING_CONFIG_UNREADABLE(1808, Level.WARNING),
  UPSTREAM_REPORT_UNREADABLE(1809, Level.WARNING),
  STORE_LOST(1810, Level.WARNING),
  STORE_REGAINED(1811, Level.INFO),
  SETTINGS_RELOADED(1812, Level.INFO),
  PEER_FOUND(1813, Level.INFO),
  PEER_LOST(1814, Level.WARNING),
  PEER_MESSAGE_UNREADABLE(1815, Level.WARNING),
  LOG_LINES_DROPPED(1816, Level.WARNING),
  CACHES_TOLD(1817, Level.INFO),
  ENGINE_INSPECTED(1818, Level.INFO),
  REQUEST_RESTRICTED(1819, Level.WARNING),
  SUSPECT_RECORD_INVALID(1820, Level.WARNING),
  RESPONSE_SKIPPED(1821, Level.INFO),
  RESPONSE_ENDED_WITH_CONNECTION(1822, Level.INFO),
  STORE_RESTORED(1823, Level.WARNING),
  PEER_MESSAGE_TOO_LARGE(1824, Level.WARNING),

  // 1900-1999: stand-ins.
  STANDIN_READY(1901, Level.INFO),
  STANDIN_RECORD_FAILED(1902, Level.SEVERE);

  private final int number;
  private final Level level;

  LogEvent(int number, Level level) {
    this.number = number;
    this.level = level;
  }

  /** Returns the number of the event, which is unique. */
  public int number() {
    return number;
  }

  /** Returns the level at which the event is logged. */
  public Level level() {
    return level;
  }

  /** Returns the event id as it appears in log lines, for example {@code TB1001}. */
  public String id() {
    return "TB" + number;
  }
}
