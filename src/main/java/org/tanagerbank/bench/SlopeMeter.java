package org.tanagerbank.bench;

import com.google.common.primitives.Longs;
import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.LongFunction;
import java.util.function.LongToDoubleFunction;

/**
 * Measures heap and processor time at several sizes and collects the results.
 *
 * <p>Not thread-safe.
 */
final class SlopeMeter {
  /** The serial collector leaves some dead objects, except in each fourth full collection. */
  private static final int COLLECTIONS = 4;

  private static final int ROUNDS = 5;
  private static final long WARMUP_NANOS = 400_000_000;
  private static final long ROUND_NANOS = 60_000_000;
  static final String BYTES = "bytes";
  static final String NANOS = "ns";

  /** Keeps results of measured code alive, so that the compiler does not drop it. */
  private static volatile Object sink;

  private final List<SlopeResult> results = new ArrayList<>();

  List<SlopeResult> results() {
    return results;
  }

  /** Measures a cost at each size. */
  void cost(String name, String unit, String per, long[] sizes, LongToDoubleFunction cost) {
    List<Double> costs = new ArrayList<>();
    for (long size : sizes) {
      costs.add(cost.applyAsDouble(size));
    }
    results.add(SlopeResult.of(name, unit, per, Longs.asList(sizes), costs));
  }

  /** Measures the heap that an object keeps, as the mean over several copies. */
  void heap(String name, String per, long[] sizes, int copies, LongFunction<Object> make) {
    // The first run loads classes and fills caches of libraries, which are not part of the object.
    use(heapOf(copies, sizes[0], make));
    cost(name, BYTES, per, sizes, size -> heapOf(copies, size, make));
  }

  private static double heapOf(int copies, long size, LongFunction<Object> make) {
    Object[] made = new Object[copies];
    long before = usedHeap();
    for (int i = 0; i < copies; i++) {
      made[i] = make.apply(size);
    }
    long after = usedHeap();
    Reference.reachabilityFence(made);
    return (double) (after - before) / copies;
  }

  static long usedHeap() {
    sink = null;
    long least = Long.MAX_VALUE;
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
      least = Math.min(least, ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
    }
    return least;
  }

  /** Measures the processor time of one call at each size. */
  void time(String name, String per, long[] sizes, LongFunction<Runnable> make) {
    cost(name, NANOS, per, sizes, size -> nanosPerCall(make.apply(size)));
  }

  /** Returns the median processor time of a call over several rounds after a warm-up. */
  static double nanosPerCall(Runnable call) {
    long calls = 0;
    long start = cpuNanos();
    while (cpuNanos() - start < WARMUP_NANOS) {
      call.run();
      calls++;
    }
    long perRound = Math.max(1, calls * ROUND_NANOS / WARMUP_NANOS);
    double[] rounds = new double[ROUNDS];
    for (int round = 0; round < ROUNDS; round++) {
      long from = cpuNanos();
      for (long i = 0; i < perRound; i++) {
        call.run();
      }
      rounds[round] = (double) (cpuNanos() - from) / perRound;
    }
    Arrays.sort(rounds);
    return rounds[ROUNDS / 2];
  }

  private static long cpuNanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  /** Uses a value, so that the compiler does not drop the code that computes it. */
  static void use(Object value) {
    sink = value;
  }
}
