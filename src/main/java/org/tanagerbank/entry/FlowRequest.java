package org.tanagerbank.entry;

import java.util.Optional;
import org.tanagerbank.instance.Upstream;
import org.tanagerbank.request.ChatKey;

/**
 * The properties of a request that {@link RequestFlow} decides by.
 *
 * <p>Immutable and thread-safe.
 *
 * @param workspace the caller's workspace
 * @param chat identifies the chat
 * @param hasEarlierTurns whether the request contains earlier turns of the chat, so that a cached
 *     prefix may exist; also true for requests of plain services
 * @param streamed whether the caller requested a streamed answer
 * @param nonIdempotent whether the request must not run twice
 * @param deterministic whether another run produces the same bytes, so that it can continue a
 *     partial answer
 * @param usesPrefixCache whether upstreams keep a cache of the chat
 * @param key how the idempotency key binds the request to an upstream
 */
public record FlowRequest(
    String workspace,
    ChatKey chat,
    boolean hasEarlierTurns,
    boolean streamed,
    boolean nonIdempotent,
    boolean deterministic,
    boolean usesPrefixCache,
    KeyBinding key) {

  /** Returns whether a key binds the request to one upstream incarnation. */
  boolean isBound() {
    return !(key instanceof KeyBinding.None);
  }

  /** How an idempotency key binds a request to an upstream. */
  public sealed interface KeyBinding {
    /** The request may go to any upstream. */
    record None() implements KeyBinding {}

    /**
     * The key was issued by an entry and names the only incarnation that may run the request.
     *
     * @param upstream the upstream, or empty when its address is not known
     * @param incarnation the incarnation that the key is bound to
     */
    record Issued(Optional<Upstream> upstream, long incarnation) implements KeyBinding {}

    /** The caller generated the key; a claim on the log binds it to an upstream. */
    record CallerGenerated() implements KeyBinding {}
  }
}
