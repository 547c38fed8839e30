package org.tanagerbank.standin;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.ImmutableLongArray;
import org.tanagerbank.request.TanagerException;

/**
 * A chat completion in the batch of an engine.
 *
 * <p>The mutable fields are guarded by the lock of the {@link EngineSimulator}.
 */
final class Job {
  /** Receives the answer of a job, on the engine's thread or on a thread that cancels the job. */
  interface Sink {
    /** Called for each token, in order. */
    void onToken(String text);

    /** Called after the last token, with the token counts of the job. */
    void onFinished(int promptTokens, int cachedTokens, int completionTokens);

    /** Called after the job was cancelled. */
    void onCancelled(TanagerException reason);

    /** Called after the engine crashed. */
    void onCrashed();

    /** Returns whether the receiver cannot accept more tokens now. */
    boolean isFull();
  }

  /**
   * The request that a job executes.
   *
   * @param requestId the caller's id of the request, possibly empty
   * @param idempotencyKey the caller's idempotency key, possibly empty
   * @param priority the priority; jobs with a higher value are admitted first
   * @param prompt the blocks of the messages of the request
   * @param conversationBlocks the hashes of the blocks of the messages followed by the answer
   * @param answerTokens the tokens of the complete answer
   * @param skippedTokens the number of answer tokens that the caller already has
   * @param crashesEngine whether the job crashes the engine when it is admitted
   */
  record Spec(
      String requestId,
      String idempotencyKey,
      int priority,
      PromptBlocks prompt,
      ImmutableLongArray conversationBlocks,
      ImmutableList<String> answerTokens,
      int skippedTokens,
      boolean crashesEngine) {}

  final Spec spec;
  final Sink sink;

  /** The sequence number of the arrival at the batch. */
  long arrival;

  int cachedTokens;
  int prefillTokensLeft;

  /** The number of answer tokens produced so far, including the skipped ones. */
  int position;

  Job(Spec spec, Sink sink) {
    this.spec = spec;
    this.sink = sink;
    this.position = spec.skippedTokens();
  }

  boolean isFinished() {
    return prefillTokensLeft == 0 && position == spec.answerTokens().size();
  }

  /**
   * Starts the prefill.
   *
   * @param cachedBlocks the number of leading blocks of the prompt that are cached
   */
  void admit(int cachedBlocks) {
    cachedTokens = cachedBlocks * PromptBlocks.BLOCK_TOKENS;
    // The last prompt token is always computed, because its output is the first answer token.
    prefillTokensLeft = Math.max(1, spec.prompt().tokens() + spec.skippedTokens() - cachedTokens);
  }
}
