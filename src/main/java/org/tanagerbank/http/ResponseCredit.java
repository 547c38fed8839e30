package org.tanagerbank.http;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.reactor.IOSession;

/**
 * Bounds how much of a response is read to the credit that was given.
 *
 * <p>HttpCore checks its capacity window only between read events and goes on reading as long as
 * the socket has data. So each read of a connection also asks the credit of the call that uses it.
 * HttpCore hands out the window when the first bytes have come; credit given before then is kept
 * here. Thread-safe.
 */
final class ResponseCredit {
  /** The first read ends this window, and HttpCore then asks the call for its credit. */
  static final int FIRST_WINDOW_BYTES = 1;

  private CapacityChannel window;
  private long notPassedOn;
  private long left;

  ResponseCredit(int initialBytes) {
    // The window begins with some capacity. It must reach 0 together with the credit, or the I/O
    // thread would go on trying to read.
    this.notPassedOn = (long) initialBytes - FIRST_WINDOW_BYTES;
    this.left = initialBytes;
  }

  /** The credits of the calls in progress by the local address of their connection. */
  static final class Table {
    private final Map<SocketAddress, ResponseCredit> credits = new ConcurrentHashMap<>();

    void put(SocketAddress local, ResponseCredit credit) {
      credits.put(local, credit);
    }

    void remove(SocketAddress local, ResponseCredit credit) {
      credits.remove(local, credit);
    }

    /** Reads from a connection unless the call that uses it has no credit left. */
    int read(IOSession session, ByteBuffer target) throws IOException {
      SocketAddress local = session.getLocalAddress();
      ResponseCredit credit = local == null ? null : credits.get(local);
      return credit != null && credit.isUsedUp() ? 0 : session.read(target);
    }
  }

  /** Adds credit and passes it on when the window is known. */
  synchronized void add(int bytes) {
    notPassedOn += bytes;
    left += bytes;
    try {
      passOn();
    } catch (IOException e) {
      // The connection is broken; the call ends with that failure.
      window = null;
    }
  }

  /** Takes the window of the connection. */
  synchronized void attach(CapacityChannel channel) throws IOException {
    window = channel;
    passOn();
  }

  /** Counts bytes of body that arrived. */
  synchronized void use(int bytes) {
    left -= bytes;
  }

  private synchronized boolean isUsedUp() {
    return left <= 0 && window != null;
  }

  private void passOn() throws IOException {
    if (window != null && notPassedOn > 0) {
      int bytes = (int) Math.min(notPassedOn, Integer.MAX_VALUE / 2);
      notPassedOn -= bytes;
      window.update(bytes);
    }
  }
}
