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

/** Reads the section of one service. Not thread-safe. */
final class ServiceReader {
  /** Names appear in paths, log fields and metric labels. */
  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

  private final NodeReader reader;

  ServiceReader(NodeReader reader) {
    this.reader = reader;
  }

  /** A service with the nodes that checks across services need for positions. */
  record Section(ServiceSpec spec, List<ScalarNode> models, List<ScalarNode> dependsOn) {}

  Section read(Member service) {
    String name = service.name();
    if (!NAME.matcher(name).matches()) {
      reader.fault(
          service.key(), "service name must have 1 to 63 characters of a-z, 0-9 and -: " + name);
    }
    Map<String, Member> fields =
        reader.fields(service.value(), "service " + name, Schema.SERVICE_FIELDS);
    Optional<ServiceKind> kind = kind(service, fields);
    List<ScalarNode> models = reader.names(fields.get(Schema.MODELS));
    List<ScalarNode> dependsOn = reader.names(fields.get(Schema.DEPENDS_ON));
    List<ScalarNode> paths = paths(fields.get(Schema.PATHS));
    kind.ifPresent(k -> checkKind(service, k, models, fields));
    ServiceSpec spec =
        new ServiceSpec(
            name,
            kind.orElse(ServiceKind.ENGINE),
            values(models),
            values(dependsOn),
            reader.number(fields, Schema.LOAD_MULTIPLE),
            weights(fields.get(Schema.WEIGHTS)),
            millis(fields, Schema.SLOW_START),
            millis(fields, Schema.DRAIN_LIMIT),
            (int) reader.number(fields, Schema.MAX_IN_FLIGHT),
            workspaces(fields.get(Schema.WORKSPACES)),
            objectives(fields.get(Schema.OBJECTIVES)),
            values(paths),
            reader.flag(fields.get(Schema.DETERMINISTIC)));
    return new Section(spec, models, dependsOn);
  }

  /** Without a valid kind, nothing is said about the fields that depend on it. */
  private Optional<ServiceKind> kind(Member service, Map<String, Member> fields) {
    Member member = fields.get(Schema.KIND);
    if (member == null) {
      reader.fault(service.key(), "service " + service.name() + " needs the field kind");
      return Optional.empty();
    }
    String text = member.value() instanceof ScalarNode scalar ? scalar.getValue() : "";
    if (!Schema.kinds().contains(text)) {
      reader.fault(member.value(), "kind must be engine or plain");
      return Optional.empty();
    }
    return Optional.of(ServiceKind.valueOf(Ascii.toUpperCase(text)));
  }

  private void checkKind(
      Member service, ServiceKind kind, List<ScalarNode> models, Map<String, Member> fields) {
    if (kind == ServiceKind.ENGINE && !fields.containsKey(Schema.MODELS)) {
      reader.fault(service.key(), "engine service " + service.name() + " needs the field models");
    } else if (kind == ServiceKind.ENGINE && models.isEmpty()) {
      reader.fault(
          fields.get(Schema.MODELS).value(), "an engine service must name at least one model");
    }
    if (kind == ServiceKind.PLAIN && !models.isEmpty()) {
      reader.fault(fields.get(Schema.MODELS).key(), "a plain service has no models");
    }
    if (kind == ServiceKind.ENGINE && fields.containsKey(Schema.PATHS)) {
      reader.fault(fields.get(Schema.PATHS).key(), "an engine service has no " + Schema.PATHS);
    }
  }

  private List<ScalarNode> paths(Member member) {
    List<ScalarNode> paths = reader.names(member);
    for (ScalarNode path : paths) {
      if (!path.getValue().startsWith("/") || path.getValue().contains(" ")) {
        reader.fault(path, "a path prefix must start with / and have no space");
      }
    }
    return paths;
  }

  private ServiceSpec.Weights weights(Member member) {
    Map<String, Member> fields =
        member == null
            ? Map.of()
            : reader.fields(member.value(), Schema.WEIGHTS, Schema.WEIGHT_FIELDS);
    ServiceSpec.Weights weights =
        new ServiceSpec.Weights(
            reader.number(fields, Schema.REUSE), reader.number(fields, Schema.SKEW));
    if (weights.reuse() == 0 && weights.skew() == 0) {
      reader.fault(member.value(), "weights.reuse and weights.skew must not both be 0");
    }
    return weights;
  }

  private ServiceSpec.Objectives objectives(Member member) {
    Map<String, Member> fields =
        member == null
            ? Map.of()
            : reader.fields(member.value(), Schema.OBJECTIVES, Schema.OBJECTIVE_FIELDS);
    return new ServiceSpec.Objectives(
        (long) reader.number(fields, Schema.FIRST_TOKEN),
        (long) reader.number(fields, Schema.PER_TOKEN),
        reader.number(fields, Schema.RATIO));
  }

  private ImmutableMap<String, Integer> workspaces(Member member) {
    if (member == null) {
      return ImmutableMap.of();
    }
    Map<String, Member> shares =
        reader.mapping(member.value(), Schema.WORKSPACES, Schema.MAX_WORKSPACES);
    ImmutableMap.Builder<String, Integer> workspaces =
        ImmutableMap.builderWithExpectedSize(shares.size());
    shares.forEach(
        (name, share) -> workspaces.put(name, (int) reader.number(share.value(), Schema.SHARE)));
    return workspaces.buildOrThrow();
  }

  private long millis(Map<String, Member> fields, NumberField field) {
    return Math.round(1_000 * reader.number(fields, field));
  }

  private static ImmutableList<String> values(List<ScalarNode> nodes) {
    return nodes.stream().map(ScalarNode::getValue).collect(ImmutableList.toImmutableList());
  }
}
