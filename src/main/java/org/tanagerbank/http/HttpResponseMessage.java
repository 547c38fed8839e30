package org.tanagerbank.http;

import com.google.common.collect.ImmutableMap;

/**
 * A complete HTTP response. The body array must not be modified.
 *
 * @param status the HTTP status
 * @param headers the headers by lower-case name
 * @param body the body, possibly empty
 */
public record HttpResponseMessage(int status, ImmutableMap<String, String> headers, byte[] body) {}
