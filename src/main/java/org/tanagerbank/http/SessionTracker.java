package org.tanagerbank.http;

import java.net.SocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOSessionListener;

/**
 * Keeps the open connections of a server by remote address, so that one can be closed.
 *
 * <p>HttpCore gives an exchange no handle of its connection, only the addresses. Thread-safe.
 */
final class SessionTracker implements IOSessionListener {
  private final Map<SocketAddress, IOSession> sessions = new ConcurrentHashMap<>();

  /** A closed socket no longer knows its address, so it is kept by the id of the session. */
  private final Map<String, SocketAddress> addresses = new ConcurrentHashMap<>();

  /** Closes the connection from an address at once, if it is still open. */
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
    // Only connects and disconnects matter.
  }

  @Override
  public void outputReady(IOSession session) {
    // Only connects and disconnects matter.
  }

  @Override
  public void timeout(IOSession session) {
    // No timeout is set.
  }

  @Override
  public void exception(IOSession session, Exception cause) {
    // The exchange is told through failed().
  }
}
