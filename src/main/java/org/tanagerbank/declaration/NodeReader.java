package org.tanagerbank.declaration;

import com.google.common.collect.ImmutableList;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;
import org.yaml.snakeyaml.nodes.Tag;

/** Reads typed values from YAML nodes and collects the faults. Not thread-safe. */
final class NodeReader {
  /** A text with many faults is usually the wrong file; more would only bury the first. */
  private static final int MAX_FAULTS = 1_000;

  /** Decimal only: YAML 1.1 would read 010 as 8 and 1:30 as 90. */
  private static final Pattern NUMBER = Pattern.compile("-?(0|[1-9][0-9]{0,14})(\\.[0-9]{1,9})?");

  private static final Pattern WHOLE = Pattern.compile("-?(0|[1-9][0-9]{0,14})");

  private final List<Fault> faults = new ArrayList<>();

  /** A key of a mapping and its value. */
  record Member(ScalarNode key, Node value) {
    String name() {
      return key.getValue();
    }
  }

  void fault(Node node, String message) {
    if (faults.size() < MAX_FAULTS) {
      faults.add(
          new Fault(
              node.getStartMark().getLine() + 1, node.getStartMark().getColumn() + 1, message));
    }
  }

  ImmutableList<Fault> faults() {
    return ImmutableList.sortedCopyOf(
        Comparator.comparingInt(Fault::line).thenComparingInt(Fault::column), faults);
  }

  boolean hasFaults() {
    return !faults.isEmpty();
  }

  /** Reads a mapping whose keys are names; duplicate keys are faults and the first one counts. */
  Map<String, Member> mapping(Node node, String what, int limit) {
    if (!(node instanceof MappingNode mapping) || !node.getTag().equals(Tag.MAP)) {
      fault(node, what + " must be a mapping");
      return Map.of();
    }
    rejectAnchor(node);
    Map<String, Member> members = new LinkedHashMap<>();
    for (NodeTuple tuple : mapping.getValue()) {
      Optional<ScalarNode> key = scalar(tuple.getKeyNode(), "key");
      if (key.isEmpty()) {
        continue;
      }
      Member member = new Member(key.get(), tuple.getValueNode());
      Member first = members.putIfAbsent(member.name(), member);
      if (first != null) {
        fault(member.key(), "duplicate key \"" + member.name() + "\"" + seenAt(first.key()));
      }
    }
    if (members.size() > limit) {
      fault(node, what + " has " + members.size() + " members; the limit is " + limit);
    }
    return members;
  }

  /** Reads a mapping with fixed fields; other keys are faults. */
  Map<String, Member> fields(Node node, String what, Set<String> known) {
    Map<String, Member> members = mapping(node, what, Integer.MAX_VALUE);
    for (Member member : members.values()) {
      if (!known.contains(member.name())) {
        String nearest = Schema.nearest(member.name(), known);
        String hint = nearest.isEmpty() ? "" : "; did you mean \"" + nearest + "\"?";
        fault(member.key(), "unknown field \"" + member.name() + "\" in " + what + hint);
      }
    }
    return members;
  }

  /** Reads a list of distinct names. */
  List<ScalarNode> names(Member member) {
    if (member == null) {
      return List.of();
    }
    if (!(member.value() instanceof SequenceNode sequence)) {
      fault(member.value(), member.name() + " must be a list");
      return List.of();
    }
    rejectAnchor(member.value());
    Map<String, ScalarNode> names = new LinkedHashMap<>();
    for (Node item : sequence.getValue()) {
      scalar(item, "item of " + member.name())
          .ifPresent(
              name -> {
                ScalarNode first = names.putIfAbsent(name.getValue(), name);
                if (first != null) {
                  String text = "duplicate \"" + name.getValue() + "\" in " + member.name();
                  fault(name, text + seenAt(first));
                }
              });
    }
    if (names.size() > Schema.MAX_LIST_LENGTH) {
      fault(member.value(), member.name() + " has more than " + Schema.MAX_LIST_LENGTH + " items");
    }
    return ImmutableList.copyOf(names.values());
  }

  /** Reads a name or word: any scalar but null, as it stands in the text. */
  Optional<ScalarNode> scalar(Node node, String what) {
    rejectAnchor(node);
    if (!(node instanceof ScalarNode scalar) || node.getTag().equals(Tag.NULL)) {
      fault(node, what + " must be a text");
      return Optional.empty();
    }
    String value = scalar.getValue();
    if (value.isEmpty() || value.length() > Schema.MAX_NAME_LENGTH) {
      fault(node, what + " must have 1 to " + Schema.MAX_NAME_LENGTH + " characters");
      return Optional.empty();
    }
    if (value.chars().anyMatch(Character::isISOControl) || !value.strip().equals(value)) {
      fault(node, what + " must not have control characters or outer spaces");
      return Optional.empty();
    }
    if (!StandardCharsets.UTF_8.newEncoder().canEncode(value)) {
      fault(node, what + " is not valid Unicode");
      return Optional.empty();
    }
    return Optional.of(scalar);
  }

  double number(Map<String, Member> members, NumberField field) {
    Member member = members.get(field.name());
    return member == null ? field.defaultValue() : number(member.value(), field);
  }

  double number(Node node, NumberField field) {
    rejectAnchor(node);
    Pattern pattern = field.whole() ? WHOLE : NUMBER;
    boolean number = node.getTag().equals(Tag.INT) || node.getTag().equals(Tag.FLOAT);
    if (!(node instanceof ScalarNode scalar)
        || !number
        || !pattern.matcher(scalar.getValue()).matches()) {
      fault(node, field.path() + " must be a " + field.type());
      return field.defaultValue();
    }
    double value = Double.parseDouble(scalar.getValue());
    if (value < field.min() || value > field.max()) {
      fault(node, field.path() + " must be in " + field.range() + ", not " + scalar.getValue());
    }
    return value;
  }

  boolean flag(Member member) {
    if (member == null) {
      return false;
    }
    rejectAnchor(member.value());
    String value = member.value() instanceof ScalarNode scalar ? scalar.getValue() : "";
    boolean valid = value.equals("true") || value.equals("false");
    if (!valid || !member.value().getTag().equals(Tag.BOOL)) {
      fault(member.value(), member.name() + " must be true or false");
    }
    return value.equals("true");
  }

  private void rejectAnchor(Node node) {
    if (node.getAnchor() != null) {
      fault(node, "anchors and aliases are not allowed: &" + node.getAnchor());
    }
  }

  static String seenAt(Node first) {
    return "; first at line " + (first.getStartMark().getLine() + 1);
  }
}
