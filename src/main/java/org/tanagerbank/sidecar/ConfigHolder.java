package org.tanagerbank.sidecar;

import java.util.Optional;
import java.util.function.Consumer;
import org.tanagerbank.declaration.DeclarationParser;
import org.tanagerbank.declaration.ServiceSpec;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.proto.LinkProto.ConfigPush;
import org.tanagerbank.request.TanagerException;

/**
 * Holds the declaration of the sidecar's service that entries pushed last.
 *
 * <p>The revision never decreases. Guarded by its own monitor; thread-safe. The listener is called
 * under that monitor.
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

  /**
   * Applies a pushed configuration. A push that is invalid or whose revision is not newer has no
   * effect; an invalid push is also logged.
   */
  synchronized void update(ConfigPush push) {
    if (push.getRevision() <= revision) {
      return;
    }
    if (push.getUnchanged()) {
      // The push refers to a text that was sent before. Without that text the revision cannot be
      // adopted.
      revision = spec.isPresent() ? push.getRevision() : revision;
      return;
    }
    try {
      ServiceSpec pushed =
          DeclarationParser.parseValid(push.getText())
              .service(service)
              .orElseThrow(
                  () ->
                      new IllegalArgumentException(
                          "the declaration does not contain service " + service));
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

  /** Returns the revision of the configuration in use; 0 before the first valid push. */
  synchronized long revision() {
    return revision;
  }

  /** Returns the declaration of the service; empty before the first valid push. */
  synchronized Optional<ServiceSpec> spec() {
    return spec;
  }
}
