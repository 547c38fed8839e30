package org.tanagerbank.dispatch;

import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.Longs;
import java.util.List;
import java.util.stream.Collectors;

/**
 * The prompt of a simulated request. Immutable.
 *
 * @param parts the ids of its parts in order; the last one is its own
 * @param tokensPerPart the length of each part in tokens
 */
record SimulatedPrompt(String model, ImmutableList<Long> parts, int tokensPerPart) {
  private static final int TOKENS_PER_PART = 100;
  private static final Splitter COMMAS = Splitter.on(',').omitEmptyStrings();

  /** Returns a prompt of the usual model. */
  static SimulatedPrompt of(long... parts) {
    return new SimulatedPrompt("m", ImmutableList.copyOf(Longs.asList(parts)), TOKENS_PER_PART);
  }

  /** Returns the headers that describe the prompt. */
  ImmutableMap<String, String> headers() {
    String prefix =
        parts.stream()
            .map(id -> Long.toHexString(id) + ":" + tokensPerPart)
            .collect(Collectors.joining(","));
    return ImmutableMap.of(
        "Model", model,
        "Token-Counts", parts.size() * tokensPerPart + ",10",
        "Prompt-Prefix", prefix);
  }

  /** Returns the ids of all parts but the last, as the head of a request describes them. */
  static ImmutableSet<Long> sharedParts(String head) {
    List<String> parts = COMMAS.splitToList(RawHead.header(head, "prompt-prefix", ""));
    return parts.stream()
        .limit(Math.max(0, parts.size() - 1))
        .map(p -> Long.parseUnsignedLong(p.substring(0, p.indexOf(':')), 16))
        .collect(toImmutableSet());
  }
}
