package org.tanagerbank.platform;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Longs;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.ByteBuffer;
import java.util.Base64;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.tanagerbank.platformclient.SocketAddresses;
import org.tanagerbank.store.HistoryReceiver;
import org.tanagerbank.store.KeyedRecord;
import org.tanagerbank.store.KeyedTopic;
import org.tanagerbank.store.ReadResult;
import org.tanagerbank.store.ReadResult.Records;
import org.tanagerbank.store.ReadResult.Restored;
import org.tanagerbank.store.ReadResult.Trimmed;
import org.tanagerbank.store.ReadResult.Unavailable;
import org.tanagerbank.store.TopicPosition;
import org.tanagerbank.upstream.BufferedExchange;
import org.tanagerbank.upstream.BufferedResponse;
import org.tanagerbank.upstream.ConnectionPool;
import org.tanagerbank.upstream.ResponseEnd;

/**
 * A client of the platform's metadata store. Confined to one event loop.
 *
 * <p>An answer of an era before the newest one counts as no answer: what it says was lost when the
 * store was restored from an older copy.
 */
public final class StoreClient {
  /** The store answers in milliseconds. A call fails this long after its requested wait. */
  private static final long CALL_TIMEOUT_MILLIS = 1_500;

  private static final int STATUS_OK = 200;
  private static final int STATUS_GONE = 410;

  /** Names the era of the store, which begins anew when the store is restored from a copy. */
  private static final String ERA_HEADER = "Store-Era";

  /** The era before the first restore; a store that names none is in era 0. */
  private static final long FIRST_ERA = 1;

  private static final int PAGE_HEADER_BYTES = 2 * Long.BYTES;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final EventLoop loop;
  private final String host;
  private final ConnectionPool connections;
  private LongConsumer restoredAction = era -> {};

  /** The newest era that an answer named; nothing before the first answer with an era. */
  private OptionalLong newestEra = OptionalLong.empty();

  private StoreClient(EventLoop loop, String host, ConnectionPool connections) {
    this.loop = loop;
    this.host = host;
    this.connections = connections;
  }

  /** Returns a client that opens connections on demand. */
  public static StoreClient create(
      EventLoop loop, InetSocketAddress address, LongSupplier clockMillis) {
    return new StoreClient(
        loop, SocketAddresses.format(address), ConnectionPool.create(loop, address, clockMillis));
  }

  /**
   * Sets the action that runs with the new era when the store has been restored from an older copy.
   */
  void setRestoredAction(LongConsumer action) {
    restoredAction = action;
  }

  /** Returns a keyed topic. All its records are in partition 0, its only partition. */
  public KeyedTopic keyedTopic(String name) {
    return new StoreTopic(name);
  }

  /**
   * The newest records of a topic, read page by page. The pages are not one snapshot: a key whose
   * page was read may change before the next page is read. So the next read starts at the end that
   * the first page names, and some records may be read twice. All pages are of one era. Not
   * thread-safe.
   */
  private static final class NewestRecords {
    private final ImmutableList.Builder<KeyedRecord> records = ImmutableList.builder();
    private Optional<TopicPosition> firstEnd = Optional.empty();

    /**
     * Adds the records of a page and returns the last key, which is empty on an empty page.
     *
     * @throws IOException if the store was restored since the first page
     */
    private String add(JsonNode page, long era) throws IOException {
      TopicPosition end =
          firstEnd.orElseGet(() -> new TopicPosition(era, page.path("end").asLong()));
      if (end.era() != era) {
        throw new IOException("the store was restored between two pages");
      }
      firstEnd = Optional.of(end);
      String last = "";
      for (JsonNode item : page.path("items")) {
        last = item.path("key").asText();
        byte[] value = Base64.getDecoder().decode(item.path("value").asText());
        records.add(new KeyedRecord(last, Optional.of(value)));
      }
      return last;
    }

    private Records toRecords() {
      return new Records(records.build(), firstEnd.orElseThrow(), /* hasMore= */ false);
    }
  }

  private final class StoreTopic implements KeyedTopic {
    private final String query;

    private StoreTopic(String name) {
      query = "?topic=" + name + "&part=0";
    }

    @Override
    public void readNewest(Consumer<ReadResult> callback) {
      newestPage("", new NewestRecords(), callback);
    }

    private void newestPage(String after, NewestRecords newest, Consumer<ReadResult> callback) {
      // Other writers may use keys with any characters.
      String position = after.isEmpty() ? "" : "&after=" + URLEncoder.encode(after, UTF_8);
      send(
          request(HttpMethod.GET, "/-/log-newest" + query + position, Unpooled.EMPTY_BUFFER),
          0,
          reply -> onNewestPage(reply, newest, callback));
    }

    private void onNewestPage(
        BufferedResponse reply, NewestRecords newest, Consumer<ReadResult> callback) {
      if (reply.status() != STATUS_OK) {
        callback.accept(unavailable(reply));
        return;
      }
      try {
        JsonNode page = MAPPER.readTree(reply.body());
        if (!page.path("items").isArray() || !page.path("end").isIntegralNumber()) {
          callback.accept(new Unavailable("the answer of the store lacks its records or its end"));
          return;
        }
        String last = newest.add(page, era(reply));
        if (!page.path("more").asBoolean()) {
          callback.accept(newest.toRecords());
        } else if (last.isEmpty()) {
          callback.accept(new Unavailable("the answer of the store lacks records that it has"));
        } else {
          newestPage(last, newest, callback);
        }
      } catch (IOException | IllegalArgumentException e) {
        callback.accept(
            new Unavailable("cannot decode the answer of the store: " + e.getMessage()));
      }
    }

    @Override
    public void read(TopicPosition from, long waitMillis, Consumer<ReadResult> callback) {
      String path = "/-/log-read" + query + "&from=" + from.offset() + "&wait-ms=" + waitMillis;
      send(
          request(HttpMethod.GET, path, Unpooled.EMPTY_BUFFER),
          waitMillis,
          reply -> callback.accept(page(reply, from)));
    }

    @Override
    public void readHistory(HistoryReceiver receiver) {
      new HistoryRead(query, receiver).readFrom(0);
    }

    @Override
    public void append(KeyedRecord keyed, Consumer<Boolean> callback) {
      ByteBuf body = RecordCodec.encode(keyed);
      send(
          request(HttpMethod.POST, "/-/log-append" + query, body),
          0,
          reply -> callback.accept(reply.status() == STATUS_OK));
    }
  }

  /**
   * Reads the records that a topic still has, from the first one on. The oldest may be deleted
   * meanwhile, so the first one is asked for again a few times.
   */
  private final class HistoryRead {
    private static final int MAX_STARTS = 6;

    /** Bounds the time for which the records of a page keep the event loop. */
    private static final int MAX_PAGE_KB = 256;

    private final String query;
    private final HistoryReceiver receiver;
    private OptionalLong era = OptionalLong.empty();
    private int starts;

    private HistoryRead(String query, HistoryReceiver receiver) {
      this.query = query;
      this.receiver = receiver;
    }

    private void readFrom(long offset) {
      String path = "/-/log-read" + query + "&from=" + offset + "&max-kb=" + MAX_PAGE_KB;
      send(request(HttpMethod.GET, path, Unpooled.EMPTY_BUFFER), 0, reply -> onPage(reply, offset));
    }

    private void onPage(BufferedResponse reply, long offset) {
      OptionalLong first = firstOffset(reply);
      if (first.isPresent() && starts < MAX_STARTS) {
        starts++;
        readFrom(first.getAsLong());
        return;
      }
      era = OptionalLong.of(era.orElse(era(reply)));
      ReadResult result = page(reply, new TopicPosition(era.getAsLong(), offset));
      if (!(result instanceof Records page)) {
        receiver.onFailure(result instanceof Unavailable u ? u.reason() : "records were lost");
        return;
      }
      receiver.onPage(page.records());
      if (page.hasMore()) {
        readFrom(page.next().offset());
      } else {
        // A store that came back from an older copy has lost records without a trace in offsets.
        receiver.onEnd(/* isWhole= */ starts == 0 && era.getAsLong() <= FIRST_ERA);
      }
    }

    /** Returns the first offset that the store has if it no longer has the one asked for. */
    private OptionalLong firstOffset(BufferedResponse reply) {
      if (reply.status() != STATUS_GONE) {
        return OptionalLong.empty();
      }
      try {
        JsonNode first = MAPPER.readTree(reply.body()).path("first");
        return first.isIntegralNumber() ? OptionalLong.of(first.asLong()) : OptionalLong.empty();
      } catch (IOException e) {
        return OptionalLong.empty();
      }
    }
  }

  private ReadResult page(BufferedResponse reply, TopicPosition from) {
    if (reply.status() != STATUS_OK && reply.status() != STATUS_GONE) {
      return unavailable(reply);
    }
    if (era(reply) != from.era()) {
      return new Restored(era(reply));
    }
    if (reply.status() == STATUS_GONE) {
      return new Trimmed();
    }
    if (reply.body().length < PAGE_HEADER_BYTES) {
      return unavailable(reply);
    }
    ByteBuffer bytes = ByteBuffer.wrap(reply.body());
    // The end of the partition, which may lie beyond the records in this answer.
    long end = bytes.getLong();
    // The offset of the first record that the store still has.
    long first = bytes.getLong();
    if (first > from.offset()) {
      return new Trimmed();
    }
    ImmutableList<Optional<KeyedRecord>> records = RecordCodec.decode(bytes);
    TopicPosition next = from.plus(records.size());
    boolean hasMore = next.offset() < end;
    if (hasMore && (reply.end() == ResponseEnd.CONNECTION_CLOSED || next.equals(from))) {
      return new Unavailable("the answer of the store was broken off");
    }
    return new Records(
        records.stream().flatMap(Optional::stream).collect(ImmutableList.toImmutableList()),
        next,
        hasMore);
  }

  private static Unavailable unavailable(BufferedResponse reply) {
    return new Unavailable(reply.reason());
  }

  private FullHttpRequest request(HttpMethod method, String path, ByteBuf body) {
    FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, body);
    request.headers().set(HttpHeaderNames.HOST, host);
    if (body.isReadable()) {
      request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    }
    return request;
  }

  private void send(FullHttpRequest request, long waitMillis, Consumer<BufferedResponse> callback) {
    BufferedExchange.send(
        loop,
        connections,
        request,
        waitMillis + CALL_TIMEOUT_MILLIS,
        reply -> callback.accept(noteEra(reply)));
  }

  /** Notes the era of an answer. An answer of an older era becomes one that failed. */
  private BufferedResponse noteEra(BufferedResponse reply) {
    String named = reply.headers().get(ERA_HEADER);
    if (named == null) {
      return reply;
    }
    Long era = Longs.tryParse(named);
    if (era == null || era < 0) {
      return BufferedResponse.failed("unreadable era of the store: " + named);
    }
    if (era < newestEra.orElse(0)) {
      return BufferedResponse.failed("an answer from before the store was restored");
    }
    boolean isRestored = newestEra.isPresent() && era > newestEra.getAsLong();
    newestEra = OptionalLong.of(era);
    if (isRestored) {
      // Runs after the answer was handled, so that the caller's own position is corrected first.
      loop.execute(() -> restoredAction.accept(era));
    }
    return reply;
  }

  /** Returns the era of an answer; one that names none belongs to the newest era. */
  private long era(BufferedResponse reply) {
    Long named = Longs.tryParse(reply.headers().get(ERA_HEADER, ""));
    return named == null ? newestEra.orElse(0) : named;
  }
}
