package org.tanagerbank.caller;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpRequest;
import org.junit.jupiter.api.Test;

/**
 * Guards against heads that are judged by bytes of the body, or not by all their lines, because the
 * network delivers a request in two pieces.
 */
final class RequestDecoderTest {
  private static final int MAX_HEADER_BYTES = 8_192;
  private static final String BODY = "{\n  \"model\": \"m\",\n\t\"stream\": true\n}\n";
  private static final String HEAD =
      "POST /v1/chat HTTP/1.1\r\nHost: h\r\nX: 1\r\nContent-Length: " + BODY.length() + "\r\n\r\n";
  private static final String FOLDED =
      "GET /v1/chat HTTP/1.1\r\nHost: h\r\nX: 1\r\n 2\r\nY: 3\r\n\r\n";

  @Test
  void indentedBodyIsNoPartOfTheHead() {
    assertEquals("", failedSplits(HEAD + BODY, true));
  }

  @Test
  void foldedLineIsFoundHoweverTheHeadIsCut() {
    assertEquals("", failedSplits(FOLDED, false));
  }

  @Test
  void emptyLinesBeforeARequestAreNoFoldedLine() {
    assertEquals("", failedSplits("\r\n\r\n" + HEAD + BODY, true));
  }

  /** Returns the cuts in two pieces at which a request is judged otherwise than expected. */
  private static String failedSplits(String text, boolean isValid) {
    StringBuilder failed = new StringBuilder();
    for (int cut = 0; cut < text.length(); cut++) {
      EmbeddedChannel channel = new EmbeddedChannel(new RequestDecoder(MAX_HEADER_BYTES));
      // The second request shows that nothing of the first one is left over.
      for (String part : new String[] {text.substring(0, cut), text.substring(cut) + HEAD + BODY}) {
        channel.writeInbound(Unpooled.copiedBuffer(part, US_ASCII));
      }
      boolean isFirstValid = isNextValid(channel);
      if (isFirstValid != isValid || (isValid && !isNextValid(channel))) {
        failed.append(cut).append(' ');
      }
      channel.finishAndReleaseAll();
    }
    return failed.toString();
  }

  private static boolean isNextValid(EmbeddedChannel channel) {
    for (Object message = channel.readInbound(); message != null; message = channel.readInbound()) {
      if (message instanceof HttpRequest request) {
        return request.decoderResult().isSuccess();
      }
    }
    return false;
  }
}
