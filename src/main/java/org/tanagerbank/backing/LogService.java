package org.tanagerbank.backing;

import org.tanagerbank.contract.TanagerException;

/**
 * The platform's append-only log.
 *
 * <p>All methods block. Implementations are thread-safe.
 */
public interface LogService {
  /**
   * Appends a record and returns its offset.
   *
   * @throws TanagerException with code {@code LOG_UNAVAILABLE}; its verdict is {@code NOT_RUN} when
   *     the record was certainly not appended and {@code MAY_HAVE_RUN} when the answer was lost
   */
  long append(String stream, byte[] data);

  /**
   * Reads up to {@code max} records from an offset on, and waits up to {@code waitMillis} for the
   * first.
   *
   * @throws TanagerException with code {@code RECORDS_EXPIRED} when {@code from} is no longer kept,
   *     or {@code LOG_UNAVAILABLE}
   */
  LogPage read(String stream, long from, int max, long waitMillis);
}
