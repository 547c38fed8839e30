package org.tanagerbank.platformclient;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;

/** Parses and formats addresses of the form {@code ip:port}. Thread-safe. */
public final class SocketAddresses {
  private SocketAddresses() {}

  /**
   * Parses an IP address and a port, without any name lookup.
   *
   * @throws IllegalArgumentException if the text has another form or contains a host name
   */
  public static InetSocketAddress parse(String text) {
    HostAndPort parts = HostAndPort.fromString(text);
    if (!parts.hasPort()) {
      throw new IllegalArgumentException("expected an address of the form ip:port: " + text);
    }
    return new InetSocketAddress(InetAddresses.forString(parts.getHost()), parts.getPort());
  }

  /** Returns an address as {@code ip:port}, with brackets around an IPv6 address. */
  public static String format(InetSocketAddress address) {
    return InetAddresses.toUriString(address.getAddress()) + ":" + address.getPort();
  }
}
