package org.tanagerbank.dispatch;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import org.tanagerbank.upstream.ResponseFacts;

/**
 * The head of a response to an attempt, and what it proves. Immutable, but for the headers, which
 * are not changed.
 *
 * @param facts what the headers say about the request
 * @param proof what the response proves about the request
 */
record ResponseHead(int status, HttpHeaders headers, ResponseFacts facts, ResponseProof proof) {
  static ResponseHead of(int status, HttpHeaders headers, ResponseFacts facts) {
    return new ResponseHead(status, headers, facts, ResponseProof.of(status, facts));
  }

  boolean isSuccess() {
    return proof == ResponseProof.SUCCESS;
  }

  /** Returns whether another process has the address of the upstream. */
  boolean isMisdirected() {
    return status == HttpResponseStatus.MISDIRECTED_REQUEST.code();
  }

  boolean isServerFault() {
    return HttpStatusClass.valueOf(status) == HttpStatusClass.SERVER_ERROR;
  }

  /** Returns whether the upstream ran the request to its end and failed it. */
  boolean isSignedFault() {
    return status == HttpResponseStatus.INTERNAL_SERVER_ERROR.code()
        && facts.hasSignature()
        && !facts.isEncoded();
  }

  /** Returns whether the body of the response is forwarded to the caller if it is complete. */
  boolean hasForwardedBody() {
    return proof == ResponseProof.SUCCESS || proof == ResponseProof.ERROR;
  }

  /** Returns whether nothing of the response may be forwarded, nor read as a result. */
  boolean isUnusable() {
    return switch (proof) {
      case OTHER_REQUEST, WITHOUT_ID, CONTRADICTORY, UNSIGNED -> true;
      default -> false;
    };
  }
}
