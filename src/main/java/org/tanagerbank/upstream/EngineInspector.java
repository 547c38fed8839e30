package org.tanagerbank.upstream;

import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.tanagerbank.engine.PromptPart;

/**
 * Queries engines for their cache contents. Implementations are thread-safe and make no routing
 * decisions.
 */
@FunctionalInterface
public interface EngineInspector {
  /**
   * Queries an engine for the prompt parts that it has cached. The query uses some of the engine's
   * processing time.
   *
   * @param loop the event loop on which the callback runs
   * @param connections the connection pool of the engine
   * @param maySend returns whether the query may still be sent once a connection is open
   * @param notices receives what a response says of the engine, before the callback
   * @param callback receives the parts, or empty if there is no valid response
   */
  void cachedParts(
      EventLoop loop,
      ConnectionPool connections,
      BooleanSupplier maySend,
      Consumer<UpstreamNotice> notices,
      Consumer<Optional<ImmutableList<PromptPart>>> callback);
}
