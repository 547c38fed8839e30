package org.tanagerbank.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A complete request of a caller. The handler owns the body and must release it.
 *
 * @param method the HTTP method
 * @param target the request target as received
 * @param headers the headers as received
 * @param body the complete body, without transfer coding; empty if there is none
 * @param receivedAtMillis the time when the last byte was read, on the steady clock
 */
public record CallerRequest(
    HttpMethod method, String target, HttpHeaders headers, ByteBuf body, long receivedAtMillis) {}
