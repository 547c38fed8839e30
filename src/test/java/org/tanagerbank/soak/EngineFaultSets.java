package org.tanagerbank.soak;

import com.google.common.collect.ImmutableList;

/**
 * Sets of faults of which engines play one at a time, as the control calls of the engine stand-in
 * take them. Immutable and thread-safe.
 *
 * @param objects each of the objects that replace the probabilities of an engine's faults
 */
record EngineFaultSets(ImmutableList<String> objects) {
  /** The engine plays no fault. */
  static final String NONE = "{}";

  /** The faults that the platform's protocol allows engines. */
  static final EngineFaultSets ALLOWED =
      new EngineFaultSets(
          ImmutableList.of(
              "{\"doubledRefusal\":1}",
              "{\"doubledRefusal\":0.5,\"slowFactor\":3}",
              "{\"doubledRefusal\":0.3,\"doubledResponse\":0.3}",
              "{\"doubledResponse\":0.5}",
              "{\"foreignRefusal\":0.3}",
              "{\"foreignSuccess\":0.3}",
              "{\"unnamedRefusal\":0.3}",
              "{\"unmarkedRefusal\":0.3,\"unmarkedMisdirect\":0.3}",
              "{\"cutResponse\":0.3,\"lostAnswer\":0.2}",
              "{\"garbledResponse\":0.3,\"errorStatus\":0.2}",
              "{\"earlyRefusal\":0.5}",
              "{\"earlyRefusal\":0.3,\"doubledRefusal\":0.5}",
              "{\"hang\":0.1,\"lostAnswer\":0.2}",
              "{\"unframed\":0.7}",
              "{\"unframed\":0.8,\"cutResponse\":0.3}",
              "{\"pause\":0.5}",
              "{\"pause\":0.3,\"unframed\":0.5,\"doubledRefusal\":0.3}",
              "{\"slowFactor\":5}"));

  /**
   * The fault that breaks the promise of engines: a preempted request is refused though it ran. It
   * is for trials only, because no gateway can keep its own promises then.
   */
  static final EngineFaultSets REFUSED_AFTER_PREEMPTION =
      new EngineFaultSets(ImmutableList.of("{\"refusedAfterPreemption\":0.5}"));

  /** Returns one of the objects. */
  String json(int variant) {
    return objects.get(variant % objects.size());
  }
}
