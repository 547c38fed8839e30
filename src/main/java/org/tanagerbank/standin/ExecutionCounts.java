package org.tanagerbank.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import org.tanagerbank.http.Json;

/** Counts executions under several names, so that a test sees what ran twice. Thread-safe. */
final class ExecutionCounts {
  private final Map<String, Map<String, Long>> counts = new LinkedHashMap<>();
  private long total;

  /** Counts an execution and returns its number, from 1. */
  synchronized long begin() {
    return ++total;
  }

  /** Counts an execution under a key of a kind; an empty key is not counted. */
  synchronized void count(String kind, String key) {
    if (!key.isEmpty()) {
      counts.computeIfAbsent(kind, k -> new LinkedHashMap<>()).merge(key, 1L, Long::sum);
    }
  }

  synchronized ObjectNode json() {
    ObjectNode body = Json.object().put("total", total);
    counts.forEach((kind, byKey) -> body.set(kind, Json.tree(byKey)));
    return body;
  }
}
