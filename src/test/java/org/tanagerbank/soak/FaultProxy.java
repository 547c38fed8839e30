package org.tanagerbank.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;

/**
 * A TCP proxy on loopback that forwards connections to one target and disrupts them according to
 * its mode. Thread-safe.
 */
final class FaultProxy implements AutoCloseable {
  /** How the proxy treats its connections. */
  enum Mode {
    /** Forwards all bytes. */
    PASS,
    /** Forwards all bytes, each read delayed by {@link #DELAY_MILLIS}. */
    DELAY,
    /** Resets all open and all new connections. */
    RESET,
    /** Drops all bytes of both directions; the connections stay open. */
    SILENT,
    /** Forwards requests and drops responses; the connections stay open. */
    NO_RESPONSES
  }

  private static final int DELAY_MILLIS = 80;
  private static final int BUFFER_BYTES = 8_192;

  private volatile InetSocketAddress target;
  private final ExecutorService executor;
  private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
  private final int port;
  private volatile ServerSocket serverSocket;
  private volatile Mode mode = Mode.PASS;

  FaultProxy(InetSocketAddress target, ExecutorService executor) throws IOException {
    this.target = target;
    this.executor = executor;
    serverSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    port = serverSocket.getLocalPort();
    executor.execute(this::acceptConnections);
  }

  int port() {
    return port;
  }

  /** Ends all connections and refuses new ones, as when the process behind the address ends. */
  void stopListening() throws IOException {
    serverSocket.close();
    for (Socket socket : openSockets) {
      reset(socket);
    }
  }

  /** Refuses new connections; open ones go on until their other side ends them. */
  void refuseConnections() throws IOException {
    serverSocket.close();
  }

  /** Sets the target of new connections. */
  void setTarget(InetSocketAddress next) {
    target = next;
  }

  /** Accepts connections at the same port again. */
  void listenAgain() throws IOException {
    serverSocket = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
    executor.execute(this::acceptConnections);
  }

  /**
   * Changes the mode.
   *
   * <p>Resets all open connections if the new mode is {@link Mode#RESET} or the previous mode
   * dropped bytes.
   */
  void setMode(Mode next) throws IOException {
    Mode previous = mode;
    mode = next;
    // Dropped bytes are not sent later, so a connection that may have lost bytes cannot continue.
    if (next == Mode.RESET || previous == Mode.SILENT || previous == Mode.NO_RESPONSES) {
      for (Socket socket : openSockets) {
        reset(socket);
      }
    }
  }

  private static void reset(Socket socket) throws IOException {
    try {
      socket.setSoLinger(true, 0);
    } catch (SocketException e) {
      // The thread that forwards its bytes has closed it already.
    }
    socket.close();
  }

  private void acceptConnections() {
    try {
      while (true) {
        Socket caller = serverSocket.accept();
        openSockets.add(caller);
        if (mode == Mode.RESET) {
          reset(caller);
        } else {
          connect(caller);
        }
      }
    } catch (IOException e) {
      // The proxy was closed.
    }
  }

  /** Connects to the target, or resets the connection if the target accepts none. */
  private void connect(Socket caller) throws IOException {
    try {
      Socket upstream = new Socket(target.getAddress(), target.getPort());
      openSockets.add(upstream);
      executor.execute(() -> forward(caller, upstream, /* isResponse= */ false));
      executor.execute(() -> forward(upstream, caller, /* isResponse= */ true));
    } catch (IOException e) {
      openSockets.remove(caller);
      reset(caller);
    }
  }

  private void forward(Socket from, Socket to, boolean isResponse) {
    try (from;
        to) {
      copy(from, to, isResponse);
    } catch (IOException e) {
      // One side closed the connection, so the other side is closed too.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      openSockets.remove(from);
      openSockets.remove(to);
    }
  }

  private void copy(Socket from, Socket to, boolean isResponse)
      throws IOException, InterruptedException {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        if (mode == Mode.DELAY) {
          Thread.sleep(DELAY_MILLIS);
        }
        boolean isDropped = mode == Mode.SILENT || (isResponse && mode == Mode.NO_RESPONSES);
        if (!isDropped) {
          out.write(buffer, 0, n);
        }
      }
    } catch (SocketException e) {
      // One side reset the connection, which must not look like an orderly close to the other.
      reset(to);
    }
  }

  @Override
  public void close() throws IOException {
    serverSocket.close();
    setMode(Mode.RESET);
  }
}
