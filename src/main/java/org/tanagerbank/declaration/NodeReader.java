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

/**
 * Reads typed values from YAML nodes and collects the faults.
 *
 * <p>A method that finds a fault records it and returns a default or an empty value, so that one
 * run finds all faults. Not thread-safe.
 */
final class NodeReader {
  /**
   * The maximum number of faults that are recorded. A text with more faults is usually the wrong
   * file, and further faults would only obscure the first ones.
   */
  private static final int MAX_FAULTS = 1_000;

  /** Matches decimal numbers only, because YAML 1.1 would read 010 as 8 and 1:30 as 90. */
  private static final Pattern DECIMAL_PATTERN =
      Pattern.compile("-?(0|[1-9][0-9]{0,14})(\\.[0-9]{1,9})?");

  private static final Pattern INTEGER_PATTERN = Pattern.compile("-?(0|[1-9][0-9]{0,14})");

  private final List<DeclarationFault> faults = new ArrayList<>();

  /** A key of a mapping and its value. */
  record Member(ScalarNode key, Node value) {
    String name() {
      return key.getValue();
    }
  }

  /** Records a fault at the start of a node, unless the limit on faults is reached. */
  void addFault(Node node, String message) {
    if (faults.size() < MAX_FAULTS) {
      faults.add(
          new DeclarationFault(
              node.getStartMark().getLine() + 1, node.getStartMark().getColumn() + 1, message));
    }
  }

  /** Returns the recorded faults, ordered by their positions. */
  ImmutableList<DeclarationFault> faults() {
    return ImmutableList.sortedCopyOf(
        Comparator.comparingInt(DeclarationFault::line).thenComparingInt(DeclarationFault::column),
        faults);
  }

  boolean hasFaults() {
    return !faults.isEmpty();
  }

  /**
   * Reads a mapping whose keys are names. A duplicate key is a fault, and its first occurrence is
   * used.
   *
   * @param description the name of the node in messages
   * @param limit the maximum number of members
   */
  Map<String, Member> readMapping(Node node, String description, int limit) {
    if (!(node instanceof MappingNode mapping) || !node.getTag().equals(Tag.MAP)) {
      addFault(node, description + " must be a mapping");
      return Map.of();
    }
    rejectAnchor(node);
    Map<String, Member> members = new LinkedHashMap<>();
    for (NodeTuple tuple : mapping.getValue()) {
      Optional<ScalarNode> key = readScalar(tuple.getKeyNode(), "key");
      if (key.isEmpty()) {
        continue;
      }
      Member member = new Member(key.get(), tuple.getValueNode());
      Member first = members.putIfAbsent(member.name(), member);
      if (first != null) {
        addFault(
            member.key(), "duplicate key \"" + member.name() + "\"" + firstOccurrence(first.key()));
      }
    }
    if (members.size() > limit) {
      addFault(node, description + " has " + members.size() + " members; the limit is " + limit);
    }
    return members;
  }

  /** Reads a mapping with a fixed set of fields. Any other key is a fault. */
  Map<String, Member> readFields(Node node, String description, Set<String> knownFields) {
    Map<String, Member> members = readMapping(node, description, Integer.MAX_VALUE);
    for (Member member : members.values()) {
      if (!knownFields.contains(member.name())) {
        String nearest = Schema.findSimilarName(member.name(), knownFields);
        String hint = nearest.isEmpty() ? "" : "; did you mean \"" + nearest + "\"?";
        addFault(member.key(), "unknown field \"" + member.name() + "\" in " + description + hint);
      }
    }
    return members;
  }

  /**
   * Reads a list of distinct names. Returns an empty list if the member is null, which means that
   * the field is missing.
   */
  List<ScalarNode> readNames(Member member) {
    if (member == null) {
      return List.of();
    }
    if (!(member.value() instanceof SequenceNode sequence)) {
      addFault(member.value(), member.name() + " must be a list");
      return List.of();
    }
    rejectAnchor(member.value());
    Map<String, ScalarNode> names = new LinkedHashMap<>();
    for (Node item : sequence.getValue()) {
      readScalar(item, "item of " + member.name())
          .ifPresent(
              name -> {
                ScalarNode first = names.putIfAbsent(name.getValue(), name);
                if (first != null) {
                  String text = "duplicate \"" + name.getValue() + "\" in " + member.name();
                  addFault(name, text + firstOccurrence(first));
                }
              });
    }
    if (names.size() > Schema.MAX_LIST_LENGTH) {
      addFault(
          member.value(), member.name() + " has more than " + Schema.MAX_LIST_LENGTH + " items");
    }
    return ImmutableList.copyOf(names.values());
  }

  /**
   * Reads a name, which is any scalar other than null. Its value is the unconverted text, so that
   * 007 remains a name of three characters.
   */
  Optional<ScalarNode> readScalar(Node node, String description) {
    rejectAnchor(node);
    if (!(node instanceof ScalarNode scalar) || node.getTag().equals(Tag.NULL)) {
      addFault(node, description + " must be a string");
      return Optional.empty();
    }
    String value = scalar.getValue();
    if (value.isEmpty() || value.length() > Schema.MAX_NAME_LENGTH) {
      addFault(node, description + " must have 1 to " + Schema.MAX_NAME_LENGTH + " characters");
      return Optional.empty();
    }
    if (value.chars().anyMatch(Character::isISOControl) || !value.strip().equals(value)) {
      addFault(
          node,
          description + " must not contain control characters or leading or trailing whitespace");
      return Optional.empty();
    }
    if (!StandardCharsets.UTF_8.newEncoder().canEncode(value)) {
      addFault(node, description + " is not valid Unicode");
      return Optional.empty();
    }
    return Optional.of(scalar);
  }

  /** Returns the value of a numeric field, or its default if the field is missing. */
  double readNumber(Map<String, Member> members, NumberField field) {
    Member member = members.get(field.name());
    return member == null ? field.defaultValue() : readNumber(member.value(), field);
  }

  /** Reads a number. A value of a wrong type is a fault, as is one outside the range. */
  double readNumber(Node node, NumberField field) {
    rejectAnchor(node);
    Pattern pattern = field.isWhole() ? INTEGER_PATTERN : DECIMAL_PATTERN;
    boolean isNumber = node.getTag().equals(Tag.INT) || node.getTag().equals(Tag.FLOAT);
    if (!(node instanceof ScalarNode scalar)
        || !isNumber
        || !pattern.matcher(scalar.getValue()).matches()) {
      addFault(node, field.path() + " must be a " + field.type());
      return field.defaultValue();
    }
    double value = Double.parseDouble(scalar.getValue());
    if (value < field.min() || value > field.max()) {
      addFault(node, field.path() + " must be in " + field.range() + ", not " + scalar.getValue());
    }
    return value;
  }

  /** Reads true or false. Returns false if the member is null, so the field is missing. */
  boolean readBoolean(Member member) {
    if (member == null) {
      return false;
    }
    rejectAnchor(member.value());
    String value = member.value() instanceof ScalarNode scalar ? scalar.getValue() : "";
    boolean isBoolean = value.equals("true") || value.equals("false");
    if (!isBoolean || !member.value().getTag().equals(Tag.BOOL)) {
      addFault(member.value(), member.name() + " must be true or false");
    }
    return value.equals("true");
  }

  private void rejectAnchor(Node node) {
    if (node.getAnchor() != null) {
      addFault(node, "anchors and aliases are not allowed: &" + node.getAnchor());
    }
  }

  /** Returns the end of a message about a duplicate, which names the line of the first one. */
  static String firstOccurrence(Node first) {
    return "; first at line " + (first.getStartMark().getLine() + 1);
  }
}
