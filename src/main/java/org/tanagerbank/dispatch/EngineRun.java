package org.tanagerbank.dispatch;

import java.util.Optional;
import org.tanagerbank.engine.Prompt;

/**
 * What an attempt tells the model of its engine: the start of its prompt, the first token and the
 * end. Does nothing for an upstream that is no engine. Not thread-safe; confined to the event loop.
 */
final class EngineRun {
  private final Dispatcher dispatcher;
  private final UpstreamHandle upstream;
  private final String requestId;
  private boolean hasFirstToken;

  EngineRun(Dispatcher dispatcher, UpstreamHandle upstream, String requestId) {
    this.dispatcher = dispatcher;
    this.upstream = upstream;
    this.requestId = requestId;
  }

  /** Records that the request is about to be sent, and tells the other instances. */
  void start(UpstreamChoice choice, Optional<Prompt> prompt) {
    if (upstream.engine().isPresent() && prompt.isPresent()) {
      upstream
          .engine()
          .get()
          .requestSent(requestId, prompt.get(), choice.fetchedTokens(), dispatcher.nowMillis());
      dispatcher.notifyPlaced(choice, prompt.get());
    }
  }

  /** Records that a part of the response has arrived; only the first call has an effect. */
  void recordFirstToken() {
    if (!hasFirstToken) {
      hasFirstToken = true;
      upstream
          .engine()
          .map(e -> e.firstTokenReceived(requestId, dispatcher.nowMillis()))
          .ifPresent(dispatcher.observer()::firstTokenReceived);
    }
  }

  void end() {
    upstream.engine().ifPresent(e -> e.requestEnded(requestId));
  }
}
