package org.tanagerbank.entry;

import java.util.Optional;
import org.tanagerbank.contract.ChatKey;
import org.tanagerbank.machine.Upstream;

/**
 * What {@link RequestFlow} needs to know about a request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param workspace the caller's workspace
 * @param chat names the chat
 * @param returning whether the request shows earlier turns of the chat
 * @param streamed whether the caller wants the answer piece by piece
 * @param nonIdempotent whether the request must not run twice
 * @param deterministic whether a new run gives the same bytes, so that it can continue an answer
 * @param cached whether upstreams keep a cache of the chat
 * @param key how the request's idempotency key binds it
 */
public record FlowRequest(
    String workspace,
    ChatKey chat,
    boolean returning,
    boolean streamed,
    boolean nonIdempotent,
    boolean deterministic,
    boolean cached,
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
     * An issued key names the only incarnation.
     *
     * @param upstream the upstream, empty when no address of it is known
     */
    record Issued(Optional<Upstream> upstream, long incarnation) implements KeyBinding {}

    /** The caller made the key up; a claim on the log binds it. */
    record Made() implements KeyBinding {}
  }
}
