package org.tanagerbank.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;

/** Passes connections on over loopback, and harms them while it is told to. Thread-safe. */
final class FaultProxy implements AutoCloseable {
  /** What is done to connections. */
  enum Mode {
    /** All bytes pass. */
    PASS,
    /** Bytes pass late. */
    DELAY,
    /** Open connections are reset, new ones too. */
    RESET,
    /** No byte passes, and nobody is told. */
    SILENT,
    /** Requests pass, answers do not. */
    NO_ANSWERS
  }

  private static final int DELAY_MILLIS = 80;
  private static final int BUFFER_BYTES = 8_192;

  private final ServerSocket listening;
  private final InetSocketAddress target;
  private final ExecutorService threads;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile Mode mode = Mode.PASS;

  FaultProxy(InetSocketAddress target, ExecutorService threads) throws IOException {
    this.target = target;
    this.threads = threads;
    listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    threads.execute(this::accept);
  }

  int port() {
    return listening.getLocalPort();
  }

  void setMode(Mode next) throws IOException {
    Mode before = mode;
    mode = next;
    // What was swallowed cannot be made up for, so that its connections cannot go on.
    if (next == Mode.RESET || before == Mode.SILENT || before == Mode.NO_ANSWERS) {
      for (Socket socket : open) {
        reset(socket);
      }
    }
  }

  private static void reset(Socket socket) throws IOException {
    if (!socket.isClosed()) {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket caller = listening.accept();
        open.add(caller);
        if (mode == Mode.RESET) {
          reset(caller);
        } else {
          Socket upstream = new Socket(target.getAddress(), target.getPort());
          open.add(upstream);
          threads.execute(() -> pass(caller, upstream, /* answers= */ false));
          threads.execute(() -> pass(upstream, caller, /* answers= */ true));
        }
      }
    } catch (IOException e) {
      // The proxy was closed.
    }
  }

  private void pass(Socket from, Socket to, boolean answers) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try (from;
        to) {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        if (mode == Mode.DELAY) {
          Thread.sleep(DELAY_MILLIS);
        }
        boolean swallowed = mode == Mode.SILENT || (answers && mode == Mode.NO_ANSWERS);
        if (!swallowed) {
          out.write(buffer, 0, n);
        }
      }
    } catch (IOException e) {
      // One side ended the connection; the other one is closed too.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      open.remove(from);
      open.remove(to);
    }
  }

  @Override
  public void close() throws IOException {
    listening.close();
    setMode(Mode.RESET);
  }
}
