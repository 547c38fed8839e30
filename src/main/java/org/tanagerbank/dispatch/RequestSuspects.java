package org.tanagerbank.dispatch;

import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.tanagerbank.engine.Prompt;
import org.tanagerbank.engine.PromptPart;
import org.tanagerbank.quarantine.RunConditions;
import org.tanagerbank.request.Fingerprint;

/**
 * What of one request may crash an upstream that runs it: its whole content, and each part of its
 * prompt that other requests may share.
 *
 * <p>Immutable and thread-safe.
 */
final class RequestSuspects {
  /** The number of parts of a prompt that are considered. */
  private static final int MAX_PARTS = 64;

  private final Fingerprint request;
  private final Optional<Prompt> prompt;

  /** The ids of the parts by their fingerprints, in the order of the prompt. */
  private final ImmutableMap<Fingerprint, Long> parts;

  private final ImmutableSet<Fingerprint> all;

  private RequestSuspects(
      Fingerprint request, Optional<Prompt> prompt, ImmutableMap<Fingerprint, Long> parts) {
    this.request = request;
    this.prompt = prompt;
    this.parts = parts;
    this.all = ImmutableSet.<Fingerprint>builder().add(request).addAll(parts.keySet()).build();
  }

  /** Returns the suspects of a request with the given content. */
  static RequestSuspects of(Fingerprint request, Optional<Prompt> prompt) {
    ImmutableMap<Fingerprint, Long> parts =
        prompt.map(Prompt::sharedParts).orElse(ImmutableList.of()).stream()
            .map(PromptPart::id)
            .distinct()
            .limit(MAX_PARTS)
            .collect(toImmutableMap(Fingerprint::ofPromptPart, id -> id));
    return new RequestSuspects(request, prompt, parts);
  }

  /** Returns the fingerprints of the request and of the parts of its prompt. */
  ImmutableSet<Fingerprint> all() {
    return all;
  }

  /** Returns the parts that each run of this request has besides a suspect. */
  ImmutableSet<Fingerprint> companions(Fingerprint suspect) {
    return Sets.difference(parts.keySet(), ImmutableSet.of(suspect)).immutableCopy();
  }

  boolean isPart(Fingerprint suspect) {
    return parts.containsKey(suspect);
  }

  /** Returns the id of a part in hexadecimal digits, or an empty text for the whole request. */
  String partId(Fingerprint suspect) {
    return isPart(suspect) ? Long.toHexString(parts.get(suspect)) : "";
  }

  /**
   * Returns the narrowest of some suspects of this request: the last of the parts, which the fewest
   * other requests share, or the request if there is no part.
   */
  Fingerprint narrowest(List<Fingerprint> suspects) {
    return parts.keySet().asList().reverse().stream()
        .filter(suspects::contains)
        .findFirst()
        .orElse(request);
  }

  /** Returns what the outcome of a run depends on besides the suspect. */
  RunConditions conditions(Fingerprint suspect, int softwareHash) {
    int promptHash =
        isPart(suspect)
            ? Hashing.murmur3_32_fixed()
                .hashString(prompt.orElseThrow().model(), StandardCharsets.UTF_8)
                .asInt()
            : prompt.map(Prompt::stableHash).orElse(0);
    return new RunConditions(softwareHash, promptHash);
  }
}
