package org.tanagerbank.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import org.tanagerbank.http.Json;

/**
 * Counts executions by several kinds of keys, so that a test can detect repeated executions.
 *
 * <p>Thread-safe.
 */
final class ExecutionCounts {
  private final Map<String, Map<String, Long>> counts = new LinkedHashMap<>();
  private long total;

  /** Adds an execution to the total and returns its number, starting from 1. */
  synchronized long countTotal() {
    return ++total;
  }

  /** Counts an execution by a key of a kind; an empty key is ignored. */
  synchronized void count(String kind, String key) {
    if (!key.isEmpty()) {
      counts.computeIfAbsent(kind, k -> new LinkedHashMap<>()).merge(key, 1L, Long::sum);
    }
  }

  synchronized ObjectNode toJson() {
    ObjectNode body = Json.object().put("total", total);
    counts.forEach((kind, byKey) -> body.set(kind, Json.tree(byKey)));
    return body;
  }
}
