package org.tanagerbank.http;

import com.google.common.collect.ImmutableMap;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** A listener that records the response to a call, so that a test can check it. Thread-safe. */
public final class RecordingListener implements HttpResponseListener {
  private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);

  /** Completes with the status when the head of the response has arrived. */
  public final CompletableFuture<Integer> head = new CompletableFuture<>();

  /**
   * Completes with {@code end} at the end of the response, or with {@code may have run} or {@code
   * not run} if the call fails.
   */
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
  public void onEndWithConnection() {
    outcome.complete("end with connection");
  }

  @Override
  public void onFailure(Exception cause, boolean mayHaveRun) {
    outcome.complete(mayHaveRun ? "may have run" : "not run");
  }

  /** Returns the bytes of the body received so far. */
  public byte[] body() {
    synchronized (body) {
      return body.toByteArray();
    }
  }

  /** Returns the number of bytes of the body received so far. */
  public int length() {
    return length.get();
  }

  /** Waits for the first chunk of the body, at most 20 s. */
  public void awaitData() throws InterruptedException {
    if (!firstData.await(20, TimeUnit.SECONDS)) {
      throw new AssertionError("no data arrived within 20 s");
    }
  }

  /**
   * Waits until a condition holds, at most 20 s.
   *
   * @param description the condition in words, for the failure message
   */
  public static void await(String description, BooleanSupplier condition) {
    long startNanos = System.nanoTime();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - startNanos > TIMEOUT_NANOS) {
        throw new AssertionError("timed out waiting until " + description);
      }
      LockSupport.parkNanos(POLL_INTERVAL_NANOS);
    }
  }
}
