package org.tanagerbank.backing;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;

/** Reads and writes addresses of the form {@code ip:port}. */
public final class SocketAddresses {
  private SocketAddresses() {}

  /**
   * Parses an IP number and a port.
   *
   * @throws IllegalArgumentException if the text has another form or names a host
   */
  public static InetSocketAddress parse(String text) {
    HostAndPort parts = HostAndPort.fromString(text);
    if (!parts.hasPort()) {
      throw new IllegalArgumentException("no port in address " + text);
    }
    return new InetSocketAddress(InetAddresses.forString(parts.getHost()), parts.getPort());
  }

  /** Returns an address as {@code ip:port}, with brackets around an IPv6 number. */
  public static String format(InetSocketAddress address) {
    return InetAddresses.toUriString(address.getAddress()) + ":" + address.getPort();
  }
}
