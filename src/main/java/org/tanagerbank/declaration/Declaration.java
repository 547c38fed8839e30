package org.tanagerbank.declaration;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;

/**
 * The services that operators have declared, in parsed form.
 *
 * <p>Every dependency names a service of the declaration, and the dependencies contain no cycle.
 * Immutable and thread-safe.
 *
 * @param services the services by name, in the order of the text
 */
public record Declaration(ImmutableMap<String, ServiceSpec> services) {
  /** Returns the service that serves a model; empty if there is none. */
  public Optional<ServiceSpec> serviceOfModel(String model) {
    return services.values().stream().filter(s -> s.models().contains(model)).findFirst();
  }

  /** Returns the service with a name; empty if there is none. */
  public Optional<ServiceSpec> service(String name) {
    return Optional.ofNullable(services.get(name));
  }
}
