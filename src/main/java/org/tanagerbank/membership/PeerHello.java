package org.tanagerbank.membership;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.tanagerbank.instance.InstanceKind;
import org.tanagerbank.instance.Zone;

/**
 * The description of an instance that its Hello frame contains when a link opens.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the instance id
 * @param incarnation the incarnation that sent the frame; not 0
 * @param service the name of the service of a sidecar's upstream; empty for an entry
 * @param zone the zone of the instance
 * @param leaving whether the instance accepts no new work
 * @param dialedAddress the address that this process connected to; empty when the remote end opened
 *     the link, because its source port is not the port on which it accepts links
 */
public record PeerHello(
    String id,
    long incarnation,
    String service,
    Zone zone,
    boolean leaving,
    Optional<InetSocketAddress> dialedAddress) {
  public PeerHello {
    checkArgument(!id.isEmpty(), "instance id must not be empty");
    checkArgument(incarnation != 0, "incarnation of %s must not be 0", id);
    checkNotNull(service);
    checkNotNull(zone);
    checkNotNull(dialedAddress);
  }

  InstanceKind kind() {
    return service.isEmpty() ? InstanceKind.ENTRY : InstanceKind.SIDECAR;
  }
}
