package org.tanagerbank.direct;

import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.function.Consumer;
import org.tanagerbank.engine.PromptPart;

/** Asks engines what they keep. Implementations are thread-safe and decide nothing. */
@FunctionalInterface
public interface EngineInspector {
  /**
   * Asks an engine for the prompt parts that it keeps; the call takes some of the engine's time.
   *
   * @param callback is told the parts on the event loop, or nothing when there is no usable answer
   */
  void cachedParts(
      EventLoop loop,
      ConnectionPool connections,
      Consumer<Optional<ImmutableList<PromptPart>>> callback);
}
