package org.tanagerbank.admission;

/**
 * What admission knows of a request. Immutable.
 *
 * @param identity a hash of its content, which is the same when the caller sends it again
 * @param arrivedAtMillis the time of its arrival by the wall clock, which instances share
 * @param kind the name of its route
 * @param workspace the name of its workspace, or an empty string
 * @param priority its priority; 0 is the most urgent
 * @param size its size class
 * @param objectiveMillis the time in milliseconds within which its response should begin, from now
 * @param timeLeftMillis the time in milliseconds until its caller gives up
 * @param hasBegun whether work on it has begun: it was sent before, or it takes up a stream
 */
public record AdmissionRequest(
    long identity,
    long arrivedAtMillis,
    String kind,
    String workspace,
    int priority,
    SizeClass size,
    double objectiveMillis,
    long timeLeftMillis,
    boolean hasBegun) {}
