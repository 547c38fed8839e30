package org.tanagerbank.declaration;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.tanagerbank.declaration.NodeReader.Member;
import org.yaml.snakeyaml.nodes.ScalarNode;

/** Reads the section of one service from YAML nodes. Not thread-safe. */
final class ServiceReader {
  /** Restricts service names, because they appear in paths, log fields and metric labels. */
  private static final Pattern NAME_PATTERN = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

  private final NodeReader reader;

  ServiceReader(NodeReader reader) {
    this.reader = reader;
  }

  /**
   * A service with the nodes of its models and dependencies. {@link ReferenceChecker} needs the
   * nodes for the positions of faults.
   */
  record ServiceSection(ServiceSpec spec, List<ScalarNode> models, List<ScalarNode> dependsOn) {}

  /** Reads a service and records its faults. Invalid fields have default values in the result. */
  ServiceSection read(Member service) {
    String name = service.name();
    if (!NAME_PATTERN.matcher(name).matches()) {
      reader.addFault(
          service.key(), "service name must have 1 to 63 characters of a-z, 0-9 and -: " + name);
    }
    Map<String, Member> fields =
        reader.readFields(service.value(), "service " + name, Schema.SERVICE_FIELDS);
    Optional<ServiceKind> kind = readKind(service, fields);
    List<ScalarNode> models = reader.readNames(fields.get(Schema.MODELS));
    List<ScalarNode> dependsOn = reader.readNames(fields.get(Schema.DEPENDS_ON));
    List<ScalarNode> paths = readPaths(fields.get(Schema.NON_IDEMPOTENT_PATHS));
    kind.ifPresent(k -> checkKind(service, k, models, fields));
    ServiceSpec spec =
        new ServiceSpec(
            name,
            kind.orElse(ServiceKind.ENGINE),
            values(models),
            values(dependsOn),
            reader.readNumber(fields, Schema.LOAD_MULTIPLE),
            readWeights(fields.get(Schema.WEIGHTS)),
            readMillis(fields, Schema.SLOW_START),
            readMillis(fields, Schema.DRAIN_LIMIT),
            (int) reader.readNumber(fields, Schema.MAX_IN_FLIGHT),
            readWorkspaces(fields.get(Schema.WORKSPACES)),
            readObjectives(fields.get(Schema.OBJECTIVES)),
            values(paths),
            reader.readBoolean(fields.get(Schema.DETERMINISTIC)));
    return new ServiceSection(spec, models, dependsOn);
  }

  /**
   * Reads the kind of a service. If it is missing or invalid, this method returns an empty value,
   * and the fields that depend on the kind are not checked against it.
   */
  private Optional<ServiceKind> readKind(Member service, Map<String, Member> fields) {
    Member member = fields.get(Schema.KIND);
    if (member == null) {
      reader.addFault(service.key(), "service " + service.name() + " needs the field kind");
      return Optional.empty();
    }
    String text = member.value() instanceof ScalarNode scalar ? scalar.getValue() : "";
    if (!Schema.kindNames().contains(text)) {
      reader.addFault(member.value(), "kind must be engine or plain");
      return Optional.empty();
    }
    return Optional.of(ServiceKind.valueOf(Ascii.toUpperCase(text)));
  }

  private void checkKind(
      Member service, ServiceKind kind, List<ScalarNode> models, Map<String, Member> fields) {
    if (kind == ServiceKind.ENGINE && !fields.containsKey(Schema.MODELS)) {
      reader.addFault(
          service.key(), "engine service " + service.name() + " needs the field models");
    } else if (kind == ServiceKind.ENGINE && models.isEmpty()) {
      reader.addFault(
          fields.get(Schema.MODELS).value(), "an engine service must name at least one model");
    }
    if (kind == ServiceKind.PLAIN && !models.isEmpty()) {
      reader.addFault(fields.get(Schema.MODELS).key(), "a plain service must not have models");
    }
    if (kind == ServiceKind.ENGINE && fields.containsKey(Schema.NON_IDEMPOTENT_PATHS)) {
      reader.addFault(
          fields.get(Schema.NON_IDEMPOTENT_PATHS).key(),
          "an engine service must not have " + Schema.NON_IDEMPOTENT_PATHS);
    }
  }

  private List<ScalarNode> readPaths(Member member) {
    List<ScalarNode> paths = reader.readNames(member);
    for (ScalarNode path : paths) {
      if (!path.getValue().startsWith("/") || path.getValue().contains(" ")) {
        reader.addFault(path, "a path prefix must start with / and must not contain spaces");
      }
    }
    return paths;
  }

  private ServiceSpec.Weights readWeights(Member member) {
    Map<String, Member> fields =
        member == null
            ? Map.of()
            : reader.readFields(member.value(), Schema.WEIGHTS, Schema.WEIGHT_FIELDS);
    ServiceSpec.Weights weights =
        new ServiceSpec.Weights(
            reader.readNumber(fields, Schema.REUSE), reader.readNumber(fields, Schema.SKEW));
    if (weights.reuse() == 0 && weights.skew() == 0) {
      reader.addFault(member.value(), "weights.reuse and weights.skew must not both be 0");
    }
    return weights;
  }

  private ServiceSpec.Objectives readObjectives(Member member) {
    Map<String, Member> fields =
        member == null
            ? Map.of()
            : reader.readFields(member.value(), Schema.OBJECTIVES, Schema.OBJECTIVE_FIELDS);
    return new ServiceSpec.Objectives(
        (long) reader.readNumber(fields, Schema.FIRST_TOKEN),
        (long) reader.readNumber(fields, Schema.PER_TOKEN),
        reader.readNumber(fields, Schema.RATIO));
  }

  private ImmutableMap<String, Integer> readWorkspaces(Member member) {
    if (member == null) {
      return ImmutableMap.of();
    }
    Map<String, Member> shares =
        reader.readMapping(member.value(), Schema.WORKSPACES, Schema.MAX_WORKSPACES);
    ImmutableMap.Builder<String, Integer> workspaces =
        ImmutableMap.builderWithExpectedSize(shares.size());
    shares.forEach(
        (name, share) ->
            workspaces.put(name, (int) reader.readNumber(share.value(), Schema.SHARE)));
    return workspaces.buildOrThrow();
  }

  private long readMillis(Map<String, Member> fields, NumberField field) {
    return Math.round(1_000 * reader.readNumber(fields, field));
  }

  private static ImmutableList<String> values(List<ScalarNode> nodes) {
    return nodes.stream().map(ScalarNode::getValue).collect(ImmutableList.toImmutableList());
  }
}
