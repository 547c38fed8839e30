package org.tanagerbank.declaration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.tanagerbank.declaration.ServiceReader.ServiceSection;
import org.yaml.snakeyaml.nodes.ScalarNode;

/**
 * Checks rules that concern several services: no model belongs to two services, and dependencies
 * name existing services and contain no cycle.
 *
 * <p>Not thread-safe.
 */
final class ReferenceChecker {
  private final NodeReader reader;
  private final Map<String, ServiceSection> sections = new LinkedHashMap<>();
  private final Set<String> visited = new HashSet<>();
  private final List<String> path = new ArrayList<>();

  private ReferenceChecker(NodeReader reader, List<ServiceSection> sections) {
    this.reader = reader;
    sections.forEach(s -> this.sections.put(s.spec().name(), s));
  }

  /** Checks all sections and records the faults with the reader. */
  static void check(NodeReader reader, List<ServiceSection> sections) {
    ReferenceChecker checker = new ReferenceChecker(reader, sections);
    checker.checkModels();
    checker.checkDependencies();
    checker.sections.keySet().forEach(checker::checkCycles);
  }

  private void checkModels() {
    Map<String, ScalarNode> firstByModel = new HashMap<>();
    for (ServiceSection section : sections.values()) {
      for (ScalarNode model : section.models()) {
        ScalarNode first = firstByModel.putIfAbsent(model.getValue(), model);
        if (first != null) {
          String text = "model \"" + model.getValue() + "\" already belongs to another service";
          reader.addFault(model, text + NodeReader.firstOccurrence(first));
        }
      }
    }
  }

  private void checkDependencies() {
    for (ServiceSection section : sections.values()) {
      for (ScalarNode dependency : section.dependsOn()) {
        if (!sections.containsKey(dependency.getValue())) {
          reader.addFault(dependency, "unknown service \"" + dependency.getValue() + "\"");
        }
      }
    }
  }

  /**
   * Searches depth-first for dependency cycles that are reachable from a service. The depth of the
   * recursion is bounded by the limit on services.
   */
  private void checkCycles(String name) {
    ServiceSection section = sections.get(name);
    if (section == null || visited.contains(name)) {
      return;
    }
    path.add(name);
    for (ScalarNode dependency : section.dependsOn()) {
      int start = path.indexOf(dependency.getValue());
      if (start >= 0) {
        String cycle = String.join(" -> ", path.subList(start, path.size()));
        reader.addFault(dependency, "dependency cycle: " + cycle + " -> " + dependency.getValue());
      } else {
        checkCycles(dependency.getValue());
      }
    }
    path.remove(path.size() - 1);
    visited.add(name);
  }
}
