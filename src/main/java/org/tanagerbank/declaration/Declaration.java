package org.tanagerbank.declaration;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;

/**
 * The operators' text in parsed form: the services and what each depends on.
 *
 * <p>Immutable and thread-safe. Every dependency names a service of the declaration, and the
 * dependencies have no cycle.
 *
 * @param services the services by name, in the order of the text
 */
public record Declaration(ImmutableMap<String, ServiceSpec> services) {
  /** Returns the service that answers a model, if there is one. */
  public Optional<ServiceSpec> serviceOfModel(String model) {
    return services.values().stream().filter(s -> s.models().contains(model)).findFirst();
  }

  /** Returns the service with a name, if there is one. */
  public Optional<ServiceSpec> service(String name) {
    return Optional.ofNullable(services.get(name));
  }
}
