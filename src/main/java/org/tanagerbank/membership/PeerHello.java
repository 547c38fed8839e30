package org.tanagerbank.membership;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.tanagerbank.machine.InstanceKind;
import org.tanagerbank.machine.Zone;

/**
 * What an instance says about itself when a link opens.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the instance id
 * @param incarnation the incarnation that speaks
 * @param service the service behind a sidecar; empty for an entry
 * @param zone where it runs
 * @param leaving whether it accepts no new work
 * @param dialled the address that this process connected to; empty when the other end connected,
 *     because its port is then not the one at which it accepts links
 */
public record PeerHello(
    String id,
    long incarnation,
    String service,
    Zone zone,
    boolean leaving,
    Optional<InetSocketAddress> dialled) {
  public PeerHello {
    checkArgument(!id.isEmpty(), "instance id must not be empty");
    checkArgument(incarnation != 0, "incarnation of %s must not be 0", id);
    checkNotNull(service);
    checkNotNull(zone);
    checkNotNull(dialled);
  }

  InstanceKind kind() {
    return service.isEmpty() ? InstanceKind.ENTRY : InstanceKind.SIDECAR;
  }
}
