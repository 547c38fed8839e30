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

/** A TCP relay that can stop forwarding on its open connections while new connections work. */
final class TcpRelay implements AutoCloseable {
  private final InetSocketAddress target;
  private final ServerSocket server;
  private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
  private final Set<Socket> silenced = ConcurrentHashMap.newKeySet();

  TcpRelay(InetSocketAddress target) {
    this.target = target;
    try {
      server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    startDaemon(this::accept);
  }

  InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  /**
   * Stops forwarding on the connections that are open now, in both directions, without closing
   * them.
   */
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
        startDaemon(() -> forward(from, to));
        startDaemon(() -> forward(to, from));
      }
    } catch (IOException e) {
      // The relay was closed.
    }
  }

  private void forward(Socket from, Socket to) {
    byte[] buffer = new byte[4_096];
    try (from;
        to) {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        if (!silenced.contains(from)) {
          out.write(buffer, 0, count);
        }
      }
    } catch (IOException e) {
      // One end has closed its connection. Closing both sockets closes the other connection too.
    }
  }

  private static void startDaemon(Runnable task) {
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
