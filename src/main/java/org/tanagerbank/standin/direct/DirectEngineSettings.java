package org.tanagerbank.standin.direct;

/**
 * The settings of a {@link DirectEngine}. Immutable.
 *
 * @param id the instance id of the engine
 * @param seed the seed of all random choices
 * @param healthPath the path whose {@code GET} reports the health of the engine
 * @param limits what the engine accepts
 * @param speed how long the work takes
 * @param trouble what the engine suffers from
 * @param idleTimeoutMillis the time after which an idle connection is closed
 * @param drainMillis how long a draining engine continues to serve
 */
public record DirectEngineSettings(
    String id,
    long seed,
    String healthPath,
    Limits limits,
    Speed speed,
    Trouble trouble,
    long idleTimeoutMillis,
    long drainMillis) {

  /**
   * What an engine accepts. Immutable.
   *
   * @param slots the number of requests that run at a time
   * @param queue the number of requests that wait
   * @param connections the number of open connections
   * @param memoryTokens the tokens that running requests and cached prompt parts may occupy
   */
  public record Limits(int slots, int queue, int connections, long memoryTokens) {}

  /**
   * How long the work of an engine takes. Immutable.
   *
   * @param stepMillis the duration of a step, which generates one token for each running request
   * @param prefillTokensPerMilli the prompt tokens that are processed in a millisecond
   * @param tokensPerEvent the number of tokens in an event of a stream
   * @param workMillis the mean duration of a request without a prompt
   */
  public record Speed(
      long stepMillis, int prefillTokensPerMilli, int tokensPerEvent, long workMillis) {}

  /**
   * What an engine suffers from for as long as it runs. Immutable.
   *
   * @param requestLimit the requests a second that it names as its limit, or 0 to name none
   * @param deadlyPart the id of the part of prompts that ends the engine when it begins a request
   *     which has it before its last part, or 0 if none does
   */
  public record Trouble(double requestLimit, long deadlyPart) {
    public static final Trouble NONE = new Trouble(0, 0);
  }
}
