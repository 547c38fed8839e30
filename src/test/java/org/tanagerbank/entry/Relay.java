package org.tanagerbank.entry;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Passes TCP connections on, and can silence those that are open while new ones work. */
final class Relay implements AutoCloseable {
  private final InetSocketAddress target;
  private final ServerSocket server;
  private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
  private final Set<Socket> silenced = ConcurrentHashMap.newKeySet();

  Relay(InetSocketAddress target) {
    this.target = target;
    try {
      server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    daemon(this::accept);
  }

  InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  /** Lets the connections that are open carry nothing more, in either direction. */
  void silence() {
    silenced.addAll(sockets);
  }

  private void accept() {
    try {
      while (true) {
        Socket from = server.accept();
        Socket to = new Socket(target.getAddress(), target.getPort());
        sockets.add(from);
        sockets.add(to);
        daemon(() -> pump(from, to));
        daemon(() -> pump(to, from));
      }
    } catch (IOException e) {
      // The relay was closed.
    }
  }

  private void pump(Socket from, Socket to) {
    byte[] buffer = new byte[4_096];
    try (from;
        to) {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        if (!silenced.contains(from)) {
          out.write(buffer, 0, n);
        }
      }
    } catch (IOException e) {
      // One end is gone; closing both tells the other.
    }
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task, "relay");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() {
    try {
      server.close();
      for (Socket socket : sockets) {
        socket.close();
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
