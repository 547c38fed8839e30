package org.tanagerbank.dispatch;

import java.util.Optional;
import java.util.function.Consumer;
import org.tanagerbank.caller.CallerExchange;
import org.tanagerbank.caller.CallerRequest;
import org.tanagerbank.route.Route;
import org.tanagerbank.route.WeightedService;
import org.tanagerbank.stream.StreamOrigin;

/**
 * Finds out where a stream began that a caller takes up, and starts the request or refuses it.
 *
 * <p>What another software version writes does not fit to the events that the caller has, so
 * nothing is guessed. Not thread-safe; confined to the event loop.
 */
final class StreamTakeUp {
  private final Dispatcher dispatcher;
  private final Route route;
  private final CallerRequest request;
  private final CallerExchange exchange;
  private final Consumer<Optional<ResumedStream>> start;
  private boolean isDone;

  /**
   * Creates a search.
   *
   * @param start starts the request
   */
  StreamTakeUp(
      Dispatcher dispatcher,
      Route route,
      CallerRequest request,
      CallerExchange exchange,
      Consumer<Optional<ResumedStream>> start) {
    this.dispatcher = dispatcher;
    this.route = route;
    this.request = request;
    this.exchange = exchange;
    this.start = start;
  }

  /** Starts the search for the origin of the stream with an id, which is empty if not known. */
  void find(String streamId) {
    exchange.onDisconnect(this::callerDisconnected);
    dispatcher.streamOrigins().find(streamId, told -> onAnswers(streamId, told));
  }

  private void callerDisconnected() {
    if (!isDone) {
      isDone = true;
      request.body().release();
    }
  }

  private void onAnswers(String streamId, Optional<StreamOrigin> told) {
    if (told.isPresent()) {
      finish(streamId, told);
    } else {
      dispatcher.upstreamVersions().await(() -> onVersionsKnown(streamId));
    }
  }

  /** The upstream that began the stream had reported before this request came. */
  private void onVersionsKnown(String streamId) {
    if (soleOrigin().isEmpty()) {
      finish(streamId, Optional.empty());
    } else {
      dispatcher
          .upstreamListProof()
          .await(
              request.receivedAtMillis(),
              isComplete -> finish(streamId, isComplete ? soleOrigin() : Optional.empty()));
    }
  }

  private void finish(String streamId, Optional<StreamOrigin> origin) {
    if (isDone) {
      return;
    }
    isDone = true;
    Optional<ResumedStream> stream =
        origin.filter(this::isOfRoute).map(o -> new ResumedStream(streamId, o));
    if (stream.isPresent()) {
      start.accept(stream);
    } else {
      dispatcher.refuse(
          request, exchange, Refusal.notRun("the version of the stream is not known"));
    }
  }

  private boolean isOfRoute(StreamOrigin origin) {
    return route.services().stream()
        .map(WeightedService::service)
        .anyMatch(origin.service()::equals);
  }

  /**
   * Returns the only origin that streams of the route can have, if it has one service whose
   * upstreams had one version for longer than a stream lasts, as far as this instance knows.
   */
  private Optional<StreamOrigin> soleOrigin() {
    return route.services().size() == 1
        ? dispatcher.upstreams().soleOrigin(route.services().get(0).service())
        : Optional.empty();
  }
}
