package org.tanagerbank.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * One whole request of a caller. The handler owns the body and releases it.
 *
 * @param method the method
 * @param target the request target as it was sent
 * @param headers the headers as they were sent
 * @param body the whole body, without its framing
 * @param arrivedMillis when the last byte was read, by the steady clock
 */
public record CallerRequest(
    HttpMethod method, String target, HttpHeaders headers, ByteBuf body, long arrivedMillis) {}
