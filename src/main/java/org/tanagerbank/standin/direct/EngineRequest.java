package org.tanagerbank.standin.direct;

import java.util.Optional;
import java.util.OptionalLong;
import org.tanagerbank.engine.Prompt;

/**
 * The head of a request to the engine, decoded. Immutable.
 *
 * @param id the id of the request; empty if it has none
 * @param path the path and query
 * @param expectedInstance the instance that the caller expects; empty for any
 * @param timeLeftMillis the time in milliseconds until the deadline, if there is one
 * @param priority the priority; 0 is the most urgent
 * @param prompt the prompt; empty for a request without generation
 * @param lastEventId the number of the last event that the caller already has, if it resumes
 */
public record EngineRequest(
    String id,
    String path,
    Optional<String> expectedInstance,
    OptionalLong timeLeftMillis,
    int priority,
    Optional<Prompt> prompt,
    OptionalLong lastEventId) {}
