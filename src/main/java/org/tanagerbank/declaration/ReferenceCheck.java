package org.tanagerbank.declaration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.tanagerbank.declaration.ServiceReader.Section;
import org.yaml.snakeyaml.nodes.ScalarNode;

/** Checks what services say about each other: models, dependencies, cycles. Not thread-safe. */
final class ReferenceCheck {
  private final NodeReader reader;
  private final Map<String, Section> sections = new LinkedHashMap<>();
  private final Set<String> done = new HashSet<>();
  private final List<String> path = new ArrayList<>();

  private ReferenceCheck(NodeReader reader, List<Section> sections) {
    this.reader = reader;
    sections.forEach(s -> this.sections.put(s.spec().name(), s));
  }

  static void run(NodeReader reader, List<Section> sections) {
    ReferenceCheck check = new ReferenceCheck(reader, sections);
    check.models();
    check.unknownDependencies();
    check.sections.keySet().forEach(check::visit);
  }

  private void models() {
    Map<String, ScalarNode> seen = new HashMap<>();
    for (Section section : sections.values()) {
      for (ScalarNode model : section.models()) {
        ScalarNode first = seen.putIfAbsent(model.getValue(), model);
        if (first != null) {
          String text = "model \"" + model.getValue() + "\" already belongs to another service";
          reader.fault(model, text + NodeReader.seenAt(first));
        }
      }
    }
  }

  private void unknownDependencies() {
    for (Section section : sections.values()) {
      for (ScalarNode dependency : section.dependsOn()) {
        if (!sections.containsKey(dependency.getValue())) {
          reader.fault(dependency, "unknown service \"" + dependency.getValue() + "\"");
        }
      }
    }
  }

  /** Depth-first search; recursion is at most as deep as the limit on services. */
  private void visit(String name) {
    Section section = sections.get(name);
    if (section == null || done.contains(name)) {
      return;
    }
    path.add(name);
    for (ScalarNode dependency : section.dependsOn()) {
      int start = path.indexOf(dependency.getValue());
      if (start >= 0) {
        String cycle = String.join(" -> ", path.subList(start, path.size()));
        reader.fault(dependency, "dependency cycle: " + cycle + " -> " + dependency.getValue());
      } else {
        visit(dependency.getValue());
      }
    }
    path.remove(path.size() - 1);
    done.add(name);
  }
}
