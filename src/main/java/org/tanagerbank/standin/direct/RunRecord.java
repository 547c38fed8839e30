package org.tanagerbank.standin.direct;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * A line of the record of what engines did. Components that do not apply are null and are left out
 * of the JSON. Immutable.
 *
 * @param atMicros the wall-clock time in microseconds since the epoch
 * @param engine the instance id of the engine
 * @param request the id of the request
 * @param status the HTTP status of the response
 * @param complete whether the response was written completely
 * @param path the path and query of the request
 * @param deadlineMillis the time that the caller left, in milliseconds
 * @param lastEventId the event after which the caller resumes
 * @param pauseMillis the pause in milliseconds that a refusal asks for
 * @param leaving whether the response says that the engine leaves
 * @param limit the requests a second that the response names as the engine's limit
 * @param detail the kind of refusal or fault, or what was received
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record RunRecord(
    long atMicros,
    String engine,
    RunEvent event,
    String request,
    Integer status,
    Boolean complete,
    String path,
    Long deadlineMillis,
    String lastEventId,
    Long pauseMillis,
    Boolean leaving,
    Double limit,
    String detail) {}
