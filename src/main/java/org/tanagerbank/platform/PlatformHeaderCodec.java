package org.tanagerbank.platform;

import com.google.common.base.Ascii;
import com.google.common.base.CharMatcher;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.Doubles;
import com.google.common.primitives.Ints;
import com.google.common.primitives.Longs;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.tanagerbank.engine.Prompt;
import org.tanagerbank.engine.PromptPart;
import org.tanagerbank.platformclient.SocketAddresses;
import org.tanagerbank.upstream.HeaderCodec;
import org.tanagerbank.upstream.LoadReport;
import org.tanagerbank.upstream.ResponseFacts;
import org.tanagerbank.upstream.ResponseFacts.IdRelation;
import org.tanagerbank.upstream.SendLimit;
import org.tanagerbank.upstream.TakenUpStream;
import org.tanagerbank.upstream.UpstreamCall;
import org.tanagerbank.upstream.UpstreamNotice;

/** Reads and writes the HTTP headers of the platform. Immutable and thread-safe. */
public final class PlatformHeaderCodec implements HeaderCodec {
  static final String REQUEST_ID = "Request-Id";
  private static final String DEADLINE = "Deadline-Ms";
  private static final String AUTHORIZATION = "Authorization";
  private static final String BEARER_SCHEME = "Bearer ";
  private static final String MODEL = "Model";
  private static final String TOKEN_COUNTS = "Token-Counts";
  private static final String PROMPT_PREFIX = "Prompt-Prefix";
  static final String LAST_EVENT_ID = "Last-Event-Id";

  /** The id of the request that brought the first event of the stream that a request takes up. */
  private static final String RESUMES = "Resumes";

  static final String EXPECT_INSTANCE = "Expect-Instance";
  private static final String TENANT = "Tenant";
  static final String PRIORITY = "Request-Priority";

  /** The address of the engine from which the called engine fetches cached prompt parts. */
  private static final String CACHE_SOURCE = "Kv-Fetch";

  /** The signature that an upstream adds to a response. */
  static final String SIGNATURE = "Server-Stamp";

  static final String NOT_EXECUTED = "Not-Executed";
  static final String LOAD = "Server-Load";
  private static final String CONTENT_ENCODING = "Content-Encoding";

  /** The header by which an upstream that shuts down says so. */
  static final String LEAVING = "Server-Leaving";

  private static final String IS_LEAVING = "1";

  /** The header in which an upstream names the requests a second that it takes. */
  static final String LIMIT = "Server-Limit";

  /** The header in which an upstream says for how many milliseconds it stays cold. */
  static final String COLD = "Cold-Ms";

  /** A day; no upstream is cold for longer. */
  private static final long MAX_COLD_MILLIS = 86_400_000;

  /** A day; an upstream that asks for more is asked again then. */
  private static final double MAX_PAUSE_SECONDS = 86_400;

  /** Work that takes a hundred times as long as usual; a higher figure is an error. */
  private static final int MAX_WORK_PERCENT = 10_000;

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Headers for a single connection or for the framing of a body, in lower case. */
  private static final ImmutableSet<String> HOP_BY_HOP =
      ImmutableSet.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "expect",
          "content-length",
          "http2-settings");

  /** Headers that only the router may set, in lower case; the values of callers are dropped. */
  private static final ImmutableSet<String> SET_BY_ROUTER =
      ImmutableSet.of(
          "authorization",
          "deadline-ms",
          "expect-instance",
          "expect-version",
          "tenant",
          "request-priority",
          "hold",
          "pin-ms",
          "kv-backup",
          "kv-from",
          "kv-fetch");

  /** Headers that are forwarded even if a Connection header names them, in lower case. */
  private static final ImmutableSet<String> ALWAYS_FORWARDED =
      ImmutableSet.of(
          "host",
          "request-id",
          "model",
          "token-counts",
          "prompt-prefix",
          "last-event-id",
          "server-stamp",
          "content-type");

  private static final Splitter COMMAS = Splitter.on(',').trimResults().omitEmptyStrings();

  @Override
  public String requestId(HttpHeaders request) {
    List<String> ids = request.getAll(REQUEST_ID);
    return ids.size() == 1 ? ids.get(0) : "";
  }

  @Override
  public OptionalLong timeLeftMillis(HttpHeaders request) {
    Long value = Longs.tryParse(request.get(DEADLINE, "").trim());
    return value == null ? OptionalLong.empty() : OptionalLong.of(value);
  }

  @Override
  public Optional<TakenUpStream> takenUpStream(HttpHeaders request) {
    if (request.get(LAST_EVENT_ID, "").isBlank() && !request.contains(RESUMES)) {
      return Optional.empty();
    }
    List<String> ids = request.getAll(RESUMES);
    return Optional.of(new TakenUpStream(ids.size() == 1 ? ids.get(0).trim() : ""));
  }

  @Override
  public Optional<String> key(HttpHeaders request) {
    String value = request.get(AUTHORIZATION, "");
    return value.regionMatches(/* ignoreCase= */ true, 0, BEARER_SCHEME, 0, BEARER_SCHEME.length())
        ? Optional.of(value.substring(BEARER_SCHEME.length()).trim())
        : Optional.empty();
  }

  @Override
  public Optional<Prompt> prompt(HttpHeaders request) {
    // "Token-Counts" contains the prompt tokens and the maximum output tokens.
    List<String> counts = COMMAS.splitToList(request.get(TOKEN_COUNTS, ""));
    Integer promptTokens = counts.isEmpty() ? null : Ints.tryParse(counts.get(0));
    Integer outputTokens = counts.size() < 2 ? null : Ints.tryParse(counts.get(1));
    if (promptTokens == null || outputTokens == null || promptTokens < 0 || outputTokens < 0) {
      return Optional.empty();
    }
    ImmutableList.Builder<PromptPart> parts = ImmutableList.builder();
    for (String part : COMMAS.split(request.get(PROMPT_PREFIX, ""))) {
      int colon = part.indexOf(':');
      Integer tokens = colon < 0 ? null : Ints.tryParse(part.substring(colon + 1));
      OptionalLong id =
          colon < 0 ? OptionalLong.empty() : PromptPartIds.parse(part.substring(0, colon));
      if (tokens == null || id.isEmpty() || tokens < 0) {
        return Optional.empty();
      }
      parts.add(new PromptPart(id.getAsLong(), tokens));
    }
    return Optional.of(
        new Prompt(request.get(MODEL, ""), parts.build(), promptTokens, outputTokens));
  }

  @Override
  public HttpHeaders toUpstream(HttpHeaders request, UpstreamCall call) {
    HttpHeaders headers = new DefaultHttpHeaders();
    Set<String> dropped = hopByHopHeaders(request);
    for (Map.Entry<String, String> header : request) {
      String name = Ascii.toLowerCase(header.getKey());
      if (!dropped.contains(name) && !SET_BY_ROUTER.contains(name)) {
        headers.add(header.getKey(), header.getValue());
      }
    }
    headers.set(EXPECT_INSTANCE, call.upstreamId());
    headers.set(DEADLINE, Long.toString(call.timeLeftMillis()));
    call.workspace().ifPresent(w -> headers.set(TENANT, w));
    call.priority().ifPresent(p -> headers.set(PRIORITY, Integer.toString(p)));
    call.lastEventId().ifPresent(e -> headers.set(LAST_EVENT_ID, e));
    call.cacheSource().ifPresent(a -> headers.set(CACHE_SOURCE, SocketAddresses.format(a)));
    return headers;
  }

  @Override
  public HttpHeaders toCaller(HttpHeaders response) {
    HttpHeaders headers = new DefaultHttpHeaders();
    Set<String> dropped = hopByHopHeaders(response);
    for (Map.Entry<String, String> header : response) {
      if (!dropped.contains(Ascii.toLowerCase(header.getKey()))) {
        headers.add(header.getKey(), header.getValue());
      }
    }
    return headers;
  }

  /** Returns the names, in lower case, of the headers that must not be forwarded. */
  private static Set<String> hopByHopHeaders(HttpHeaders headers) {
    Set<String> names = new HashSet<>(HOP_BY_HOP);
    for (String value : headers.getAll("Connection")) {
      for (String name : COMMAS.split(value)) {
        names.add(Ascii.toLowerCase(name));
      }
    }
    names.removeAll(ALWAYS_FORWARDED);
    return names;
  }

  @Override
  public ResponseFacts responseFacts(HttpHeaders response, String requestId) {
    return new ResponseFacts(
        idRelation(response.getAll(REQUEST_ID), requestId),
        response.contains(NOT_EXECUTED),
        response.contains(SIGNATURE),
        response.contains(CONTENT_ENCODING));
  }

  private static IdRelation idRelation(List<String> responseIds, String requestId) {
    if (requestId.isEmpty() || responseIds.stream().allMatch(String::isEmpty)) {
      return IdRelation.MISSING;
    }
    if (responseIds.stream().distinct().count() > 1) {
      return IdRelation.AMBIGUOUS;
    }
    return responseIds.get(0).equals(requestId) ? IdRelation.OWN : IdRelation.FOREIGN;
  }

  @Override
  public UpstreamNotice notice(int status, HttpHeaders response) {
    return new UpstreamNotice(
        response.getAll(LEAVING).stream().anyMatch(v -> v.trim().equals(IS_LEAVING)),
        status == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
            ? pauseMillis(response)
            : OptionalLong.empty(),
        limit(response),
        coldMillis(response),
        load(response));
  }

  /** Returns the lowest limit that a response names; values that are no limit are passed over. */
  private static Optional<SendLimit> limit(HttpHeaders response) {
    List<String> values = response.getAll(LIMIT);
    if (values.isEmpty()) {
      return Optional.of(SendLimit.NONE);
    }
    return values.stream()
        .map(v -> Doubles.tryParse(v.trim()))
        .filter(perSecond -> perSecond != null && perSecond >= 0 && !perSecond.isInfinite())
        .min(Comparator.naturalOrder())
        .map(SendLimit::new);
  }

  /** Returns the longest pause that a refusal asks for; values that are no time are passed over. */
  private static OptionalLong pauseMillis(HttpHeaders response) {
    return response.getAll(HttpHeaderNames.RETRY_AFTER).stream()
        .map(v -> Doubles.tryParse(v.trim()))
        .filter(seconds -> seconds != null && seconds > 0)
        .mapToLong(
            seconds -> (long) Math.ceil(Math.min(MAX_PAUSE_SECONDS, seconds) * MILLIS_PER_SECOND))
        .max();
  }

  /** Returns the longest time that a response names; values that are no time are passed over. */
  private static OptionalLong coldMillis(HttpHeaders response) {
    return response.getAll(COLD).stream()
        .map(v -> Longs.tryParse(v.trim()))
        .filter(millis -> millis != null && millis >= 0)
        .mapToLong(millis -> Math.min(MAX_COLD_MILLIS, millis))
        .max();
  }

  private static Optional<LoadReport> load(HttpHeaders response) {
    List<String> numbers = COMMAS.splitToList(response.get(LOAD, ""));
    if (numbers.size() < 3
        || numbers.size() > 4
        || !numbers.stream().limit(3).allMatch(CharMatcher.inRange('0', '9')::matchesAllOf)) {
      return Optional.empty();
    }
    Integer running = Ints.tryParse(numbers.get(0));
    Integer waiting = Ints.tryParse(numbers.get(1));
    Integer slots = Ints.tryParse(numbers.get(2));
    return running == null || waiting == null || slots == null
        ? Optional.empty()
        : Optional.of(new LoadReport(running, waiting, slots, workPercent(numbers)));
  }

  /** Returns the fourth figure of the load; a value that is no such figure is passed over. */
  private static OptionalInt workPercent(List<String> numbers) {
    Integer percent =
        numbers.size() == 4 && CharMatcher.inRange('0', '9').matchesAllOf(numbers.get(3))
            ? Ints.tryParse(numbers.get(3))
            : null;
    return percent == null || percent <= 0 || percent > MAX_WORK_PERCENT
        ? OptionalInt.empty()
        : OptionalInt.of(percent);
  }
}
