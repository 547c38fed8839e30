package org.tanagerbank.platformclient;

import org.tanagerbank.request.TanagerException;

/**
 * The platform's append-only log, which consists of named streams of records.
 *
 * <p>All methods block. Implementations are thread-safe.
 */
public interface LogService {
  /**
   * Appends a record to a stream and returns its offset.
   *
   * @throws TanagerException with code {@code LOG_UNAVAILABLE}; its verdict is {@code NOT_RUN} if
   *     the record was certainly not appended, and {@code MAY_HAVE_RUN} if the response was lost
   */
  long append(String stream, byte[] data);

  /**
   * Reads records of a stream. If {@code from} is the next offset of the stream, the call waits for
   * a record. If it is beyond that, the call returns an empty page at once.
   *
   * @param from the offset of the first record to read, at least 1
   * @param max the maximum number of records to return
   * @param waitMillis how long to wait for a record, in milliseconds
   * @throws TanagerException with code {@code RECORDS_EXPIRED} if the log no longer retains {@code
   *     from}, or {@code LOG_UNAVAILABLE} if the log cannot be read
   */
  LogPage read(String stream, long from, int max, long waitMillis);
}
