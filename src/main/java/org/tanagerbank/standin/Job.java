package org.tanagerbank.standin;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.ImmutableLongArray;
import org.tanagerbank.contract.TanagerException;

/**
 * A chat completion in the batch of an engine.
 *
 * <p>The progress fields are guarded by the engine's lock.
 */
final class Job {
  /** Receives the answer of a job. Calls come from the engine's thread or from a cancel. */
  interface Sink {
    /** Called with each token in order. */
    void token(String text);

    /** Called when all tokens were given. */
    void finished(int promptTokens, int cachedTokens, int completionTokens);

    /** Called when the job was cancelled. */
    void cancelled(TanagerException reason);

    /** Called when the engine crashed. */
    void crashed();

    /** Returns whether the receiver is too slow for more tokens now. */
    boolean isFull();
  }

  /**
   * What a job is asked to do.
   *
   * @param requestId the caller's name for the request, possibly empty
   * @param key the caller's idempotency key, possibly empty
   * @param priority higher is served first
   * @param prompt the blocks of the messages
   * @param whole the blocks of the messages with the answer
   * @param answer the tokens of the whole answer
   * @param skip how many tokens of the answer the caller has already
   * @param crashes whether running it crashes the engine
   */
  record Spec(
      String requestId,
      String key,
      int priority,
      PromptBlocks prompt,
      ImmutableLongArray whole,
      ImmutableList<String> answer,
      int skip,
      boolean crashes) {}

  final Spec spec;
  final Sink sink;
  long arrival;
  int cachedTokens;
  int prefillLeft;
  int position;

  Job(Spec spec, Sink sink) {
    this.spec = spec;
    this.sink = sink;
    this.position = spec.skip();
  }

  boolean isFinished() {
    return prefillLeft == 0 && position == spec.answer().size();
  }

  /** Begins the prefill, given how many leading blocks the cache has. */
  void admit(int cachedBlocks) {
    cachedTokens = cachedBlocks * PromptBlocks.BLOCK_TOKENS;
    // The last token is always computed, because its output begins the answer.
    prefillLeft = Math.max(1, spec.prompt().tokens() + spec.skip() - cachedTokens);
  }
}
