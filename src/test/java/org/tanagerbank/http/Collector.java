package org.tanagerbank.http;

import com.google.common.collect.ImmutableMap;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Collects the response to a call for a test. Thread-safe. */
public final class Collector implements HttpCallListener {
  private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long LIMIT_NANOS = TimeUnit.SECONDS.toNanos(20);

  /** Completes with the status when the head has come. */
  public final CompletableFuture<Integer> head = new CompletableFuture<>();

  /** Completes with {@code true} at the end, or with a text that says how the call failed. */
  public final CompletableFuture<String> outcome = new CompletableFuture<>();

  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private final AtomicInteger length = new AtomicInteger();
  private final CountDownLatch firstData = new CountDownLatch(1);

  @Override
  public void onHead(int status, ImmutableMap<String, String> headers) {
    head.complete(status);
  }

  @Override
  public void onData(byte[] data) {
    synchronized (body) {
      body.writeBytes(data);
    }
    length.addAndGet(data.length);
    firstData.countDown();
  }

  @Override
  public void onEnd() {
    outcome.complete("end");
  }

  @Override
  public void onFailure(Exception cause, boolean mayHaveRun) {
    outcome.complete(mayHaveRun ? "may have run" : "not run");
  }

  /** Returns the body so far. */
  public byte[] body() {
    synchronized (body) {
      return body.toByteArray();
    }
  }

  /** Returns how many bytes of body have come. */
  public int length() {
    return length.get();
  }

  /** Waits for the first piece of the body. */
  public void awaitData() throws InterruptedException {
    if (!firstData.await(20, TimeUnit.SECONDS)) {
      throw new AssertionError("no data");
    }
  }

  /** Waits until a condition holds. */
  public static void await(String what, BooleanSupplier condition) {
    long begun = System.nanoTime();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - begun > LIMIT_NANOS) {
        throw new AssertionError("timed out waiting until " + what);
      }
      LockSupport.parkNanos(POLL_NANOS);
    }
  }
}
