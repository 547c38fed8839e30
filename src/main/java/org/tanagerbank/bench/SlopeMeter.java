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
 * <p>Processor time is that of the calling thread. Not thread-safe.
 */
final class SlopeMeter {
  /**
   * The number of full collections before the heap is read. The serial collector leaves some dead
   * objects in the heap, except in every fourth full collection.
   */
  private static final int GC_RUNS = 4;

  private static final int ROUNDS = 5;
  private static final long WARMUP_NANOS = 400_000_000;
  private static final long ROUND_NANOS = 60_000_000;
  static final String BYTES = "bytes";
  static final String NANOS = "ns";

  /**
   * Receives the results of measured code, so that the JIT compiler does not eliminate the code.
   */
  private static volatile Object sink;

  private final List<SlopeResult> results = new ArrayList<>();

  List<SlopeResult> results() {
    return results;
  }

  /** Measures a cost at each size and records the line fitted through the costs. */
  void measureCost(String name, String unit, String per, long[] sizes, LongToDoubleFunction cost) {
    List<Double> costs = new ArrayList<>();
    for (long size : sizes) {
      costs.add(cost.applyAsDouble(size));
    }
    results.add(SlopeResult.of(name, unit, per, Longs.asList(sizes), costs));
  }

  /** Measures the retained heap of an object in bytes, as the mean over several copies. */
  void measureHeap(String name, String per, long[] sizes, int copies, LongFunction<Object> make) {
    // The first run loads classes and fills caches of libraries, which are not part of the object.
    consume(heapOf(copies, sizes[0], make));
    measureCost(name, BYTES, per, sizes, size -> heapOf(copies, size, make));
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
    long minBytes = Long.MAX_VALUE;
    for (int i = 0; i < GC_RUNS; i++) {
      System.gc();
      minBytes =
          Math.min(minBytes, ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
    }
    return minBytes;
  }

  /** Measures the processor time of one call in nanoseconds at each size. */
  void measureTime(String name, String per, long[] sizes, LongFunction<Runnable> make) {
    measureCost(name, NANOS, per, sizes, size -> nanosPerCall(make.apply(size)));
  }

  /**
   * Returns the processor time of a call in nanoseconds, as the median over several rounds after a
   * warm-up.
   */
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

  /** Stores a value, so that the JIT compiler does not eliminate the code that computes it. */
  static void consume(Object value) {
    sink = value;
  }
}
