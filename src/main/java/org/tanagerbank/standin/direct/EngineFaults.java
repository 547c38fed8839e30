package org.tanagerbank.standin.direct;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import java.io.IOException;

/**
 * The faults that an engine injects: a probability from 0 to 1 for each kind. Fields that are
 * absent in JSON inject nothing. Immutable.
 *
 * @param doubledRefusal a refusal is sent a second time
 * @param doubledResponse a response is sent a second time
 * @param foreignRefusal a refusal of another request is sent before the response
 * @param foreignSuccess a success of another request is sent before the response
 * @param unnamedRefusal a refusal without a request id is sent before the response
 * @param unmarkedRefusal a request that ran is answered 503 without the mark of refusals
 * @param unmarkedMisdirect a request is not run and answered 421 without the mark of refusals
 * @param cutResponse the connection is closed within the response
 * @param garbledResponse bytes that are no response are sent in place of the response
 * @param lostAnswer the connection is closed after the run, without a response
 * @param earlyRefusal a request is refused before its body is read
 * @param errorStatus a request that ran is answered 500
 * @param hang a request begins and never gets a response
 * @param refusedAfterPreemption a request that was preempted is refused if it cannot continue,
 *     although it has begun
 * @param unframed the response to a request that ran has neither a length nor chunks and ends with
 *     its connection
 * @param pause a refusal asks the caller for a pause
 * @param slowFactor the factor by which all work takes longer
 */
public record EngineFaults(
    double doubledRefusal,
    double doubledResponse,
    double foreignRefusal,
    double foreignSuccess,
    double unnamedRefusal,
    double unmarkedRefusal,
    double unmarkedMisdirect,
    double cutResponse,
    double garbledResponse,
    double lostAnswer,
    double earlyRefusal,
    double errorStatus,
    double hang,
    double refusedAfterPreemption,
    double unframed,
    double pause,
    @JsonProperty(defaultValue = "1") double slowFactor) {
  /** An engine without faults. */
  public static final EngineFaults NONE =
      new EngineFaults(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1);

  private static final ObjectReader READER =
      new ObjectMapper()
          .readerFor(EngineFaults.class)
          .with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  /**
   * @throws IllegalArgumentException if a probability is not from 0 to 1
   */
  public EngineFaults {
    checkProbability("doubledRefusal", doubledRefusal);
    checkProbability("doubledResponse", doubledResponse);
    checkProbability("foreignRefusal", foreignRefusal);
    checkProbability("foreignSuccess", foreignSuccess);
    checkProbability("unnamedRefusal", unnamedRefusal);
    checkProbability("unmarkedRefusal", unmarkedRefusal);
    checkProbability("unmarkedMisdirect", unmarkedMisdirect);
    checkProbability("cutResponse", cutResponse);
    checkProbability("garbledResponse", garbledResponse);
    checkProbability("lostAnswer", lostAnswer);
    checkProbability("earlyRefusal", earlyRefusal);
    checkProbability("errorStatus", errorStatus);
    checkProbability("hang", hang);
    checkProbability("refusedAfterPreemption", refusedAfterPreemption);
    checkProbability("unframed", unframed);
    checkProbability("pause", pause);
    checkArgument(slowFactor >= 0, "slowFactor must not be negative: %s", slowFactor);
    // An absent field is read as 0.
    slowFactor = slowFactor == 0 ? 1 : slowFactor;
  }

  /**
   * Reads faults from a JSON object.
   *
   * @throws IllegalArgumentException if the text is not a JSON object, has an unknown field, or a
   *     value is out of range
   */
  public static EngineFaults parse(byte[] json) {
    try {
      EngineFaults faults = READER.readValue(json);
      checkArgument(faults != null, "the faults must be a JSON object");
      return faults;
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("invalid faults: " + e.getOriginalMessage(), e);
    } catch (IOException e) {
      throw new IllegalArgumentException("invalid faults: " + e.getMessage(), e);
    }
  }

  private static void checkProbability(String name, double value) {
    checkArgument(value >= 0 && value <= 1, "%s must be from 0 to 1: %s", name, value);
  }
}
