package org.tanagerbank.http;

import java.net.SocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOSessionListener;

/**
 * Tracks the open connections of a server by remote address, so that an exchange can close its
 * connection.
 *
 * <p>HttpCore gives an exchange no reference to its connection, only the addresses. Thread-safe.
 */
final class SessionTracker implements IOSessionListener {
  private final Map<SocketAddress, IOSession> sessions = new ConcurrentHashMap<>();

  /** Remote addresses by session id, because a closed socket no longer has its remote address. */
  private final Map<String, SocketAddress> addresses = new ConcurrentHashMap<>();

  /** Closes the connection from a remote address immediately, if it is open. */
  void close(SocketAddress remote) {
    IOSession session = sessions.get(remote);
    if (session != null) {
      session.close(CloseMode.IMMEDIATE);
    }
  }

  @Override
  public void connected(IOSession session) {
    SocketAddress remote = session.getRemoteAddress();
    if (remote != null) {
      addresses.put(session.getId(), remote);
      sessions.put(remote, session);
    }
  }

  @Override
  public void disconnected(IOSession session) {
    SocketAddress remote = addresses.remove(session.getId());
    if (remote != null) {
      sessions.computeIfPresent(remote, (a, s) -> s.getId().equals(session.getId()) ? null : s);
    }
  }

  @Override
  public void startTls(IOSession session) {
    // TLS is not used.
  }

  @Override
  public void inputReady(IOSession session) {
    // Only new and closed connections are tracked.
  }

  @Override
  public void outputReady(IOSession session) {
    // Only new and closed connections are tracked.
  }

  @Override
  public void timeout(IOSession session) {
    // No socket timeout is set.
  }

  @Override
  public void exception(IOSession session, Exception cause) {
    // HttpCore reports the exception to the exchange through failed().
  }
}
