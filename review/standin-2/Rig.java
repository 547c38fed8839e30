import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the cases share: a record, processes of the project, HTTP over plain sockets. */
final class Rig implements AutoCloseable {
  static final String HOST = "calls.example";
  static final String KEY = "key0123456789abcdefg";

  private final Path repository;
  private final Path folder;
  private final PrintStream record;
  private final long startNanos = System.nanoTime();
  private final List<Process> processes = Collections.synchronizedList(new ArrayList<>());
  private final List<AutoCloseable> closeables = Collections.synchronizedList(new ArrayList<>());

  Rig(Path repository, Path caseFolder) throws IOException {
    this.repository = repository.toAbsolutePath();
    this.folder = Files.createTempDirectory("review-case");
    this.record = new PrintStream(Files.newOutputStream(caseFolder.resolve("record.txt")), true);
    // Also ends them if the script is stopped at its time limit.
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
  }

  private void endProcesses() {
    processes.forEach(Process::destroyForcibly);
  }

  static boolean hasTrouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  double seconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  /** Writes a line to record.txt. */
  void log(String line) {
    String text = String.format(Locale.ROOT, "%8.3f %s", seconds(), line);
    synchronized (record) {
      record.println(text);
    }
  }

  /** Writes a line to record.txt and to standard output. */
  void say(String line) {
    log(line);
    System.out.println(line);
  }

  /** Writes a line to record.txt each second until the end. */
  void logEachSecond(Supplier<String> line) {
    daemon("log", () -> {
      while (true) {
        log(line.get());
        try {
          Thread.sleep(1_000);
        } catch (InterruptedException e) {
          return;
        }
      }
    });
  }

  void onClose(AutoCloseable closeable) {
    closeables.add(closeable);
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  // ---------------------------------------------------------------- processes of the project

  /** Starts the project's stand-in of the store and returns its address. */
  InetSocketAddress startStore() throws IOException {
    List<String> command =
        List.of("java", "-Xmx1g", "-jar", "target/tanagerbank-all.jar", "standin", "store");
    ProcessBuilder builder = new ProcessBuilder(command).directory(repository.toFile());
    builder.redirectError(folder.resolve("store.err").toFile());
    Process process = builder.start();
    processes.add(process);
    BufferedReader lines = new BufferedReader(new InputStreamReader(process.getInputStream()));
    String line = lines.readLine();
    Matcher address = Pattern.compile("\"address\":\"([0-9.]+):([0-9]+)\"").matcher("" + line);
    if (!address.find()) {
      throw new IOException("the store printed no address: " + line);
    }
    daemon("store-out", () -> drain(lines));
    return new InetSocketAddress(address.group(1), Integer.parseInt(address.group(2)));
  }

  private static void drain(BufferedReader lines) {
    try {
      while (lines.readLine() != null) {
        // The output is not needed.
      }
    } catch (IOException e) {
      // The process has ended.
    }
  }

  /** A gateway process and its addresses. */
  static final class GatewayProcess {
    final String name;
    final String ip;
    final InetSocketAddress front;
    final InetSocketAddress ready;
    final int metricsPort;
    final Path settings;
    final Path log;
    Process process;

    GatewayProcess(String name, String ip, Path folder) throws IOException {
      this.name = name;
      this.ip = ip;
      this.front = new InetSocketAddress(ip, freePort());
      this.ready = new InetSocketAddress(ip, freePort());
      this.metricsPort = freePort();
      this.settings = folder.resolve(name + ".json");
      this.log = folder.resolve(name + ".log");
    }

    boolean isReady() {
      try (Connection c = new Connection(ready, 1_000)) {
        c.send("GET", "/-/readyz", Map.of("Host", "ready"), new byte[0]);
        return c.receive(2_000).status == 200;
      } catch (IOException e) {
        return false;
      }
    }
  }

  GatewayProcess createGateway(String name, String ip, InetSocketAddress store, boolean first)
      throws IOException {
    GatewayProcess gateway = new GatewayProcess(name, ip, folder);
    int peers = freePort();
    String text =
        "{\"node\":\"" + name + "\",\"role\":\"gateway\",\"class\":\"edge\",\"serves\":[\"edge\"],"
            + "\"ip\":\"" + ip + "\",\"zone\":\"hala-a\",\"region\":\"mazowsze\","
            + "\"zones\":{\"hala-a\":\"mazowsze\"},\"listen\":{\"front\":\""
            + ip + ":" + gateway.front.getPort() + "\",\"ready\":\""
            + ip + ":" + gateway.ready.getPort() + "\"},\"port-range\":[" + peers + "," + peers
            + "],\"seeds\":[],\"bootstrap\":" + first + ",\"counts-as-loss\":false,"
            + "\"limits\":{\"cpu-share\":0.57,\"cores\":1,\"memory-mb\":430,\"max-fds\":4100,"
            + "\"link-mbps\":1000.0,\"disk-mb\":0},\"data-dir\":null,\"discovery\":\"platform\","
            + "\"entry\":\"vip\",\"beat-ms\":1200,\"contracts\":[\"base\",\"drain\",\"config\","
            + "\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\"],"
            + "\"tolerate\":{\"machines\":2,\"zones\":0,\"regions\":0},\"bounds\":{"
            + "\"seed-lag-s\":3,\"reuse-after-s\":2,\"stable-ms\":3000,\"ack-ms\":4000,"
            + "\"catch-up-s\":4,\"drain-ms\":2000,\"grace-s\":8,\"loss-slack-ms\":200,"
            + "\"config-ms\":2000,\"rollback-slack-ms\":250,\"outer-ms\":5000,"
            + "\"strict-revoke\":true,\"revoke-ms\":5000,\"retry-ratio\":0.2,"
            + "\"retry-window-s\":10,\"retry-slack\":54,\"recover-s\":12,\"pass-ms\":120,"
            + "\"again-s\":10,\"cap-x\":2},\"platform\":{\"addr\":\""
            + store.getAddress().getHostAddress() + ":" + store.getPort()
            + "\",\"form\":\"log\",\"writes-per-s\":400,\"reads-per-s\":2000,\"parts\":8,"
            + "\"append-ms\":4.0,\"part-mb-s\":20.0,\"read-mb-s\":80.0,\"record-bytes\":262144,"
            + "\"call-bytes\":2097152,\"keep_s\":300,\"part-mb\":200,\"ttl-min-ms\":1000}}";
    Files.writeString(gateway.settings, text);
    return gateway;
  }

  /** Starts a gateway with the command of deploy/system.toml. */
  void start(GatewayProcess gateway) throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"([^\"]*)\"")
            .matcher(Files.readString(repository.resolve("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("deploy/system.toml has no run line");
    }
    List<String> command = new ArrayList<>(List.of(run.group(1).split(" +")));
    command.set(command.indexOf("--metrics-port") + 1, Integer.toString(gateway.metricsPort));
    ProcessBuilder builder = new ProcessBuilder(command).directory(repository.toFile());
    builder.environment().put("TANAGERBANK_NODE_FILE", gateway.settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(gateway.log.toFile()));
    gateway.process = builder.start();
    processes.add(gateway.process);
    log("started " + gateway.name + " as process " + gateway.process.pid());
  }

  void awaitReady(GatewayProcess gateway, int seconds) throws Exception {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    while (!gateway.isReady()) {
      if (System.nanoTime() > end) {
        throw new IOException(gateway.name + " is not ready after " + seconds + " s");
      }
      Thread.sleep(100);
    }
  }

  void signal(Process process, String name) throws Exception {
    log("signal " + name + " to process " + process.pid());
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  /** Copies the last lines of a gateway's log that hold one of some texts into the record. */
  void logLines(GatewayProcess gateway, int most, String... texts) throws IOException {
    List<String> found = new ArrayList<>();
    for (String line : Files.readAllLines(gateway.log, StandardCharsets.ISO_8859_1)) {
      for (String text : texts) {
        if (line.contains(text)) {
          found.add(line);
          break;
        }
      }
    }
    log(gateway.name + " logged " + found.size() + " lines with " + String.join(", ", texts));
    found.stream().limit(most).forEach(l -> log("  " + (l.length() > 400 ? l.substring(0, 400) : l)));
  }

  // ---------------------------------------------------------------- records in the store

  /** Writes a record to a keyed topic, as the operator and the workers do; null removes the key. */
  static void put(InetSocketAddress store, String topic, String key, String value)
      throws IOException {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    byte[] content = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
    ByteBuffer body = ByteBuffer.allocate(5 + name.length + content.length);
    body.putInt(1 + name.length + content.length).put((byte) name.length).put(name).put(content);
    try (Connection c = new Connection(store, 2_000)) {
      c.send(
          "POST", "/-/log-append?topic=" + topic + "&part=0", Map.of("Host", "s"), body.array());
      Answer answer = c.receive(5_000);
      if (answer.status != 200) {
        throw new IOException("the store answered " + answer.status);
      }
    }
  }

  static String workerEntry(Worker worker, String service, String state, int slots, long seq) {
    return "{\"service\":\"" + service + "\",\"addr\":\"" + worker.address()
        + "\",\"zone\":\"hala-a\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
        + "\",\"cold-left-ms\":0,\"seq\":" + seq + "}";
  }

  // ---------------------------------------------------------------- HTTP

  /** A message: the head's first line, its headers by lower-case name, and the body. */
  static class Answer {
    String line;
    int status;
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        if (line.size() == 0) {
          return null;
        }
        throw new IOException("cut off in a line");
      }
      if (b != '\r') {
        line.write(b);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  /** Reads a head; returns null at the end of the connection. */
  static Answer readHead(InputStream in) throws IOException {
    String first = readLine(in);
    if (first == null) {
      return null;
    }
    Answer message = new Answer();
    message.line = first;
    for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      message.headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    return message;
  }

  static byte[] readBody(InputStream in, Answer head) throws IOException {
    if (head.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (true) {
        String size = readLine(in);
        if (size == null) {
          throw new IOException("cut off in a chunked body");
        }
        int length = Integer.parseInt(size.trim(), 16);
        body.write(exactly(in, length));
        readLine(in);
        if (length == 0) {
          return body.toByteArray();
        }
      }
    }
    String length = head.header("Content-Length");
    return length.isEmpty() ? new byte[0] : exactly(in, Integer.parseInt(length));
  }

  static byte[] exactly(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new IOException("cut off in a body");
    }
    return bytes;
  }

  /** One connection of a client. */
  static final class Connection implements AutoCloseable {
    final Socket socket = new Socket();
    final InputStream in;
    final OutputStream out;

    Connection(InetSocketAddress address, int timeoutMillis) throws IOException {
      socket.connect(address, timeoutMillis);
      socket.setTcpNoDelay(true);
      in = new BufferedInputStream(socket.getInputStream());
      out = socket.getOutputStream();
    }

    void send(String method, String path, Map<String, String> headers, byte[] body)
        throws IOException {
      StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
      headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
      if (body.length > 0) {
        head.append("Content-Length: " + body.length + "\r\n");
      }
      byte[] bytes = (head + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
      out.write(bytes);
      out.write(body);
      out.flush();
    }

    /** Reads a whole answer; throws an exception if the connection ends before. */
    Answer receive(int timeoutMillis) throws IOException {
      socket.setSoTimeout(timeoutMillis);
      Answer answer = readHead(in);
      if (answer == null) {
        throw new IOException("closed without an answer");
      }
      answer.status = Integer.parseInt(answer.line.split(" ")[1]);
      answer.body = readBody(in, answer);
      return answer;
    }

    @Override
    public void close() {
      try {
        socket.close();
      } catch (IOException e) {
        // Nothing is left to close.
      }
    }
  }

  static Map<String, String> callHeaders(String requestId, int deadlineMillis) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", HOST);
    headers.put("Request-Id", requestId);
    headers.put("Deadline-Ms", Integer.toString(deadlineMillis));
    headers.put("Authorization", "Bearer " + KEY);
    return headers;
  }

  // ---------------------------------------------------------------- workers

  /** What a worker does with a request that it runs. */
  interface Work {
    /** Runs a request and writes its whole answer. Returns whether the channel is kept. */
    boolean run(Worker worker, Answer request, InputStream in, Socket socket) throws Exception;
  }

  /** A sound worker: a thread for each channel, requests one after the other on a channel. */
  static final class Worker implements AutoCloseable {
    final String id;
    final ServerSocket server;
    final Work work;
    final Map<String, AtomicInteger> runs = Collections.synchronizedMap(new LinkedHashMap<>());
    volatile boolean isClosed;

    Worker(String id, Work work) throws IOException {
      this.id = id;
      this.work = work;
      this.server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
      daemon("worker-" + id, this::accept);
    }

    String address() {
      return "127.0.0.1:" + server.getLocalPort();
    }

    /** Returns the number of requests that began to run. */
    int runs() {
      return runs.size();
    }

    int runs(String requestId) {
      AtomicInteger count = runs.get(requestId);
      return count == null ? 0 : count.get();
    }

    void began(String requestId) {
      runs.computeIfAbsent(requestId, unused -> new AtomicInteger()).incrementAndGet();
    }

    private void accept() {
      while (!isClosed) {
        try {
          Socket socket = server.accept();
          socket.setTcpNoDelay(true);
          daemon("channel-" + id, () -> serve(socket));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        while (true) {
          Answer request = readHead(in);
          if (request == null) {
            return;
          }
          String expected = request.header("Expect-Instance");
          if (!expected.isEmpty() && !expected.equals(id)) {
            readBody(in, request);
            write(socket, "421 Misdirected Request", request, "Instance-Id: " + id + "\r\n", "");
          } else if (!work.run(this, request, in, socket)) {
            return;
          }
        }
      } catch (Exception e) {
        // The caller closed the channel.
      }
    }

    /** Writes an answer with a length. */
    static void write(
        Socket socket, String status, Answer request, String moreHeaders, String body)
        throws IOException {
      byte[] content = body.getBytes(StandardCharsets.ISO_8859_1);
      String head =
          "HTTP/1.1 " + status + "\r\nRequest-Id: " + request.header("Request-Id") + "\r\n"
              + moreHeaders + "Content-Length: " + content.length + "\r\n\r\n";
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      bytes.write(head.getBytes(StandardCharsets.ISO_8859_1));
      bytes.write(content);
      socket.getOutputStream().write(bytes.toByteArray());
      socket.getOutputStream().flush();
    }

    @Override
    public void close() throws IOException {
      isClosed = true;
      server.close();
    }
  }

  static Thread daemon(String name, Runnable task) {
    Thread thread = new Thread(null, task, name, 256 << 10);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  @Override
  public void close() throws Exception {
    for (AutoCloseable closeable : closeables) {
      closeable.close();
    }
    endProcesses();
    for (Process process : processes) {
      process.waitFor(5, TimeUnit.SECONDS);
    }
    try (var files = Files.walk(folder)) {
      files.sorted(java.util.Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
    }
    record.close();
  }
}
