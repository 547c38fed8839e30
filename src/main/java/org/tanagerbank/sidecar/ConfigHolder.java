package org.tanagerbank.sidecar;

import java.util.Optional;
import java.util.function.Consumer;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.declaration.DeclarationParser;
import org.tanagerbank.declaration.ServiceSpec;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.proto.LinkProto.ConfigPush;

/**
 * The declaration of the sidecar's service as entries pushed it.
 *
 * <p>The revision never decreases. Guarded by its own monitor; thread-safe.
 */
final class ConfigHolder {
  private final String service;
  private final Consumer<ServiceSpec> listener;
  private long revision;
  private Optional<ServiceSpec> spec = Optional.empty();

  ConfigHolder(String service, Consumer<ServiceSpec> listener) {
    this.service = service;
    this.listener = listener;
  }

  /** Takes a push; an older or invalid one changes nothing. */
  synchronized void take(ConfigPush push) {
    if (push.getRevision() <= revision) {
      return;
    }
    if (push.getUnchanged()) {
      // Without a text to which it refers, such a push says nothing.
      revision = spec.isPresent() ? push.getRevision() : revision;
      return;
    }
    try {
      ServiceSpec pushed =
          DeclarationParser.parseValid(push.getText())
              .service(service)
              .orElseThrow(() -> new IllegalArgumentException("no service " + service));
      spec = Optional.of(pushed);
      revision = push.getRevision();
      listener.accept(pushed);
      EventLog.emit(LogEvent.SIDECAR_CONFIGURED, "revision", revision);
    } catch (TanagerException | IllegalArgumentException e) {
      EventLog.emit(
          LogEvent.SIDECAR_CONFIG_REJECTED,
          "revision",
          push.getRevision(),
          "detail",
          e.getMessage());
    }
  }

  synchronized long revision() {
    return revision;
  }

  synchronized Optional<ServiceSpec> spec() {
    return spec;
  }
}
