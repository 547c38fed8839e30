package org.tanagerbank.dispatch;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import java.util.Optional;
import java.util.Set;
import java.util.stream.LongStream;
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
  private final Fingerprint request;
  private final Optional<Prompt> prompt;

  /** The request, then the parts in the order of the prompt. */
  private final ImmutableSet<Fingerprint> all;

  private RequestSuspects(
      Fingerprint request, Optional<Prompt> prompt, ImmutableSet<Fingerprint> all) {
    this.request = request;
    this.prompt = prompt;
    this.all = all;
  }

  /** Returns the suspects of a request with the given content. */
  static RequestSuspects of(Fingerprint request, Optional<Prompt> prompt) {
    ImmutableSet.Builder<Fingerprint> all = ImmutableSet.<Fingerprint>builder().add(request);
    sharedPartIds(prompt).mapToObj(Fingerprint::ofPromptPart).forEach(all::add);
    return new RequestSuspects(request, prompt, all.build());
  }

  private static LongStream sharedPartIds(Optional<Prompt> prompt) {
    return prompt.map(Prompt::sharedParts).orElse(ImmutableList.of()).stream()
        .mapToLong(PromptPart::id);
  }

  /** Returns the fingerprints of the request and of the parts of its prompt. */
  ImmutableSet<Fingerprint> all() {
    return all;
  }

  /** Returns the fingerprint of the whole request. */
  Fingerprint request() {
    return request;
  }

  /** Returns the fingerprints of the parts of the prompt, in its order. */
  ImmutableList<Fingerprint> parts() {
    return all.asList().subList(1, all.size());
  }

  boolean isPart(Fingerprint suspect) {
    return !suspect.equals(request) && all.contains(suspect);
  }

  /** Returns the id of a part in hexadecimal digits, or an empty text for the whole request. */
  String partId(Fingerprint suspect) {
    return isPart(suspect)
        ? sharedPartIds(prompt)
            .filter(id -> Fingerprint.ofPromptPart(id).equals(suspect))
            .mapToObj(Long::toHexString)
            .findFirst()
            .orElse("")
        : "";
  }

  /**
   * Returns the narrowest of some suspects of this request: the last of the parts, which the fewest
   * other requests share, or the request if there is no part.
   */
  Fingerprint narrowest(Set<Fingerprint> suspects) {
    return all.asList().reverse().stream().filter(suspects::contains).findFirst().orElse(request);
  }

  /** Returns what the outcome of a run depends on besides the suspect. */
  RunConditions conditions(Fingerprint suspect, int softwareHash) {
    return isPart(suspect) ? partConditions(softwareHash) : requestConditions(softwareHash);
  }

  /** Returns what the outcome of a run depends on besides the request. */
  RunConditions requestConditions(int softwareHash) {
    return new RunConditions(softwareHash, prompt.map(Prompt::stableHash).orElse(0));
  }

  /** Returns what the outcome of a run depends on besides a part of the prompt, whichever it is. */
  RunConditions partConditions(int softwareHash) {
    String model = prompt.map(Prompt::model).orElse("");
    return new RunConditions(
        softwareHash, Hashing.murmur3_32_fixed().hashString(model, UTF_8).asInt());
  }
}
