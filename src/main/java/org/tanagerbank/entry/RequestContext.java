package org.tanagerbank.entry;

import java.util.function.Consumer;
import org.tanagerbank.machine.Upstream;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.proto.LinkProto.MeanLoad;

/** What a request in progress needs from its entry. Implementations are thread-safe. */
interface RequestContext {
  /** Returns the time. */
  long now();

  /** Returns the link to an upstream's sidecar. */
  UpstreamLink link(Upstream upstream);

  /** Sends a frame to a sidecar if a link to it is open; it is a hint that may be lost. */
  void tell(Upstream upstream, Frame frame);

  /** Claims the key of a request and passes the result on as an event. */
  void claim(Intake.Checked request, FlowAction.Claim claim, Consumer<FlowEvent> result);

  /** Gives a request a new id, under which sidecars do not know it. */
  void renew(ActiveRequest request);

  /** Runs an action after a time. */
  void schedule(long delayMillis, Runnable action);

  /** Notes that a request begins (1) or ends (-1) to wait for the answer to its first Submit. */
  void firstSend(String service, int change);

  /** Returns the estimate of a service's mean load. */
  MeanLoad mean(String service);

  /** Notes that a request is over. */
  void ended(ActiveRequest request, String code, String verdict, int upstreamsTried);
}
