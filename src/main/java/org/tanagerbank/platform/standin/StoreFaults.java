package org.tanagerbank.platform.standin;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import java.io.IOException;

/**
 * What the stand-in of the store does to the calls that it gets. Fields that are absent in JSON do
 * nothing. Immutable.
 *
 * @param status the status with which all calls are refused; 0 to serve them
 * @param delayMillis the time in milliseconds by which each answer is delayed
 * @param lostAnswers the number of next calls that take effect and get no answer
 */
public record StoreFaults(int status, long delayMillis, int lostAnswers) {
  /** A store that serves all calls. */
  public static final StoreFaults NONE = new StoreFaults(0, 0, 0);

  private static final ObjectReader READER =
      new ObjectMapper()
          .readerFor(StoreFaults.class)
          .with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  /**
   * @throws IllegalArgumentException if a value is out of range
   */
  public StoreFaults {
    checkArgument(
        status == 0 || (status >= 400 && status <= 599),
        "status must be 0 or from 400 to 599: %s",
        status);
    checkArgument(delayMillis >= 0, "delayMillis must not be negative: %s", delayMillis);
    checkArgument(lostAnswers >= 0, "lostAnswers must not be negative: %s", lostAnswers);
  }

  /**
   * Reads faults from a JSON object.
   *
   * @throws IllegalArgumentException if the text is not a JSON object, has an unknown field, or a
   *     value is out of range
   */
  public static StoreFaults parse(byte[] json) {
    try {
      StoreFaults faults = READER.readValue(json);
      checkArgument(faults != null, "the faults must be a JSON object");
      return faults;
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("invalid faults: " + e.getOriginalMessage(), e);
    } catch (IOException e) {
      throw new IllegalArgumentException("invalid faults: " + e.getMessage(), e);
    }
  }

  /** Returns the faults of a store that refuses all calls with a status. */
  public static StoreFaults refusing(int status) {
    return new StoreFaults(status, 0, 0);
  }

  /** Returns these faults after an answer was lost. */
  StoreFaults withoutOneAnswer() {
    return new StoreFaults(status, delayMillis, Math.max(0, lostAnswers - 1));
  }
}
