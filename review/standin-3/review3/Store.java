package review3;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's store, as PROTOCOL.md describes the calls that a gateway makes: log-append,
 * log-read (at most max-kb, 1,024 by default, in an answer) and log-newest. It can fall silent
 * towards its callers, as a store that turns a machine away without a response; the operator and
 * the workers write to it in this process and are always served.
 */
final class Store implements AutoCloseable {
  private static final int DEFAULT_MAX_KB = 1_024;
  private static final int NEWEST_ITEMS = 500;
  private static final int NEWEST_BYTES = 1 << 20;
  private static final long ANSWER_MILLIS = 4;

  private static final class Topic {
    private final List<byte[]> records = new ArrayList<>();
    private final Map<String, Long> newest = new TreeMap<>();
  }

  private final Map<String, Topic> topics = new HashMap<>();
  private final ServerSocket server;
  private boolean isSilent;
  private long silentPeriod;

  Store() throws IOException {
    server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    daemon(this::acceptAll);
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  /** Begins or ends a time in which no caller gets a response. Channels of that time stay silent. */
  synchronized void setSilent(boolean silent) {
    if (silent) {
      silentPeriod++;
    }
    isSilent = silent;
    notifyAll();
  }

  /** Writes a record of the operator or of a worker; an empty value drops the key. */
  synchronized long put(String topic, String key, byte[] value) {
    byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
    byte[] content = new byte[1 + keyBytes.length + value.length];
    content[0] = (byte) keyBytes.length;
    System.arraycopy(keyBytes, 0, content, 1, keyBytes.length);
    System.arraycopy(value, 0, content, 1 + keyBytes.length, value.length);
    return append(topic, List.of(content));
  }

  private synchronized long append(String name, List<byte[]> contents) {
    Topic topic = topic(name);
    long offset = topic.records.size();
    for (byte[] content : contents) {
      int keyLength = Byte.toUnsignedInt(content[0]);
      String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
      if (content.length == 1 + keyLength) {
        topic.newest.remove(key);
      } else {
        topic.newest.put(key, (long) topic.records.size());
      }
      topic.records.add(content);
    }
    notifyAll();
    return offset;
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, unused -> new Topic());
  }

  private void acceptAll() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        daemon(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    long openedIn;
    synchronized (this) {
      openedIn = silentPeriod;
    }
    try (socket) {
      socket.setTcpNoDelay(true);
      DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
        Thread.sleep(ANSWER_MILLIS);
        byte[] answer = answer(call);
        synchronized (this) {
          if (isSilent || silentPeriod != openedIn) {
            // A channel on which a response is lost returns nothing further.
            break;
          }
        }
        OutputStream out = socket.getOutputStream();
        out.write(answer);
        out.flush();
      }
      in.transferTo(OutputStream.nullOutputStream());
    } catch (IOException | InterruptedException e) {
      // The gateway closed the channel, or the script ends.
    }
  }

  private byte[] answer(Http.Message call) throws InterruptedException {
    String target = call.target();
    Map<String, String> query = query(target);
    String topic = query.getOrDefault("topic", "");
    if (target.startsWith("/-/log-read")) {
      return read(topic, query);
    }
    if (target.startsWith("/-/log-newest")) {
      return newest(topic, query.getOrDefault("after", ""));
    }
    if (target.startsWith("/-/log-append")) {
      return appended(topic, call.body());
    }
    return response(404, new byte[0]);
  }

  private static Map<String, String> query(String target) {
    Map<String, String> query = new HashMap<>();
    int start = target.indexOf('?');
    for (String pair : start < 0 ? new String[0] : target.substring(start + 1).split("&")) {
      int equals = pair.indexOf('=');
      query.put(
          pair.substring(0, equals),
          URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
    }
    return query;
  }

  private synchronized byte[] read(String name, Map<String, String> query)
      throws InterruptedException {
    int from = Integer.parseInt(query.getOrDefault("from", "0"));
    long maxBytes = Long.parseLong(query.getOrDefault("max-kb", "" + DEFAULT_MAX_KB)) * 1_024;
    long endNanos =
        System.nanoTime() + 1_000_000 * Long.parseLong(query.getOrDefault("wait-ms", "0"));
    Topic topic = topic(name);
    while (topic.records.size() <= from && System.nanoTime() < endNanos) {
      wait(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
    }
    ByteArrayOutputStream page = new ByteArrayOutputStream();
    page.writeBytes(ByteBuffer.allocate(16).putLong(topic.records.size()).putLong(0).array());
    for (int i = from; i < topic.records.size(); i++) {
      byte[] content = topic.records.get(i);
      if (page.size() + 4 + content.length > maxBytes && i > from) {
        break;
      }
      page.writeBytes(ByteBuffer.allocate(4).putInt(content.length).array());
      page.writeBytes(content);
    }
    return response(200, page.toByteArray());
  }

  private synchronized byte[] newest(String name, String after) {
    Topic topic = topic(name);
    StringBuilder items = new StringBuilder();
    int count = 0;
    boolean hasMore = false;
    for (Map.Entry<String, Long> entry : topic.newest.entrySet()) {
      if (!after.isEmpty() && entry.getKey().compareTo(after) <= 0) {
        continue;
      }
      if (count == NEWEST_ITEMS || items.length() > NEWEST_BYTES) {
        hasMore = true;
        break;
      }
      byte[] content = topic.records.get(entry.getValue().intValue());
      int start = 1 + Byte.toUnsignedInt(content[0]);
      byte[] value = java.util.Arrays.copyOfRange(content, start, content.length);
      items
          .append(count++ == 0 ? "" : ",")
          .append("{\"key\":\"" + entry.getKey() + "\",\"value\":\"")
          .append(Base64.getEncoder().encodeToString(value))
          .append("\",\"offset\":" + entry.getValue() + "}");
    }
    return response(
        200,
        Http.bytes(
            "{\"items\":[" + items + "],\"more\":" + hasMore + ",\"end\":" + topic.records.size()
                + "}"));
  }

  private byte[] appended(String topic, byte[] body) {
    List<byte[]> contents = new ArrayList<>();
    ByteBuffer bytes = ByteBuffer.wrap(body);
    while (bytes.remaining() >= 4) {
      byte[] content = new byte[bytes.getInt()];
      bytes.get(content);
      contents.add(content);
    }
    long offset = append(topic, contents);
    return response(
        200, Http.bytes("{\"offset\":" + offset + ",\"end\":" + (offset + contents.size()) + "}"));
  }

  private static byte[] response(int status, byte[] body) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(
        Http.bytes("HTTP/1.1 " + status + " OK\r\nContent-Length: " + body.length + "\r\n\r\n"));
    bytes.writeBytes(body);
    return bytes.toByteArray();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
