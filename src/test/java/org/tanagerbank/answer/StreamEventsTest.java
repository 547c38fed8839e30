package org.tanagerbank.answer;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import org.junit.jupiter.api.Test;

/**
 * Guards against usage counts of a run that are passed on before its end, and against events that
 * are held back without need.
 */
final class StreamEventsTest {
  private static final String TOKEN = "data: {\"delta\":\"one\",\"usage\":null}\n\n";
  private static final String USAGE = "data: {\"usage\": {\"cached_tokens\":3}}\n\n";
  private static final String END_MARK = "data: [DONE]\n\n";

  @Test
  void lastEventWithUsageAndEndMarkAreHeldBack() {
    assertPassed(TOKEN, USAGE);
    assertPassed(TOKEN, USAGE + END_MARK);
    assertPassed(TOKEN, USAGE + END_MARK.substring(0, 9));
    assertPassed("", USAGE + END_MARK);
  }

  @Test
  void otherCompleteEventsArePassedOn() {
    assertPassed("", "");
    assertPassed("", "data: {\"delta");
    assertPassed(TOKEN + TOKEN, "");
    assertPassed(TOKEN + TOKEN, "data: {\"delta\":\"two\"}\n");
    assertPassed(TOKEN + END_MARK, "");
    assertPassed(USAGE + TOKEN, "");
  }

  /** Guards against text of the answer that looks like usage. */
  @Test
  void quotedUsageIsPassedOn() {
    assertPassed("data: {\"delta\":\"\\\"usage\\\":{\"}\n\n", "");
  }

  @Test
  void linesMayEndWithCarriageReturn() {
    assertPassed(crLf(TOKEN), crLf(USAGE + END_MARK));
    assertPassed(crLf(TOKEN + TOKEN), crLf("data: {\n"));
  }

  private static String crLf(String text) {
    return text.replace("\n", "\r\n");
  }

  private static void assertPassed(String passed, String heldBack) {
    ByteString pending = ByteString.copyFromUtf8(passed + heldBack);
    assertThat(StreamEvents.endOfEventsBeforeUsage(pending)).isEqualTo(passed.length());
  }
}
