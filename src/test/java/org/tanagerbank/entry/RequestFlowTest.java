package org.tanagerbank.entry;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.tanagerbank.instance.Upstream;
import org.tanagerbank.instance.Zone;
import org.tanagerbank.ledger.AnswerBuffer;
import org.tanagerbank.request.ChatKey;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.request.Verdict;
import org.tanagerbank.routing.RetryBudget;

/**
 * Guards against answers that are joined from two runs, and against errors that blame the caller
 * for it, when a run of a deterministic service is lost and another run gives other bytes.
 */
final class RequestFlowTest {
  private static final long NOW = 1_000_000;
  private static final String TOKENS =
      "data: {\"delta\":\"one\"}\n\ndata: {\"delta\":\"two\"}\n\ndata: {\"delta\":\"three\"}\n\n";
  private static final String LONGER = answer(TOKENS, 304);
  private static final String SHORTER = answer(TOKENS, 0);

  private final Upstream first = upstream("first");
  private final Upstream second = upstream("second");
  private final RequestFlow flow =
      new RequestFlow(
          new FlowRequest(
              "w",
              new ChatKey(1),
              true,
              true,
              false,
              true,
              true,
              new FlowRequest.KeyBinding.None()),
          new FirstUpstreamRouter(ImmutableList.of(first, second)),
          new RetryBudget(),
          new SplittableRandom(1));
  private final StringBuilder delivered = new StringBuilder();
  private Optional<TanagerException> error = Optional.empty();
  private FlowAction.Submit submit;
  private FlowAction.Query query;
  private boolean whole;

  /** Guards against a request that fails with 416, or ends as whole, after the longer answer. */
  @Test
  void runThatEndsBeforeTheDeliveredPartEndsTheRequestWithoutPromise() {
    String longText = TOKENS + TOKENS + TOKENS;
    start();
    serve(answer(longText, 0), longText.length());
    loseUpstream();
    serveWhole(answer(TOKENS, 0));
    assertThat(whole).isFalse();
    assertThat(error.get().code()).isEqualTo(ErrorCode.INCOMPLETE);
    assertThat(error.get().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
    assertThat(longText).startsWith(delivered.toString());
  }

  /** Guards against an answer whose first bytes are of one run and whose last are of another. */
  @Test
  void runThatDiffersInTheDeliveredPartIsNotContinued() {
    start();
    serve(LONGER, TOKENS.length());
    loseUpstream();
    serveWhole(LONGER.replace("two", "2nd"));
    assertThat(whole).isFalse();
    assertThat(error.get().code()).isEqualTo(ErrorCode.INCOMPLETE);
    assertThat(error.get().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
    assertThat(LONGER).startsWith(delivered.toString());
  }

  /** Guards against a request that fails although only the usage counts of the runs differ. */
  @Test
  void answerIsThatOfTheSecondRunWhereverTheFirstBreaksOff() {
    for (int lost = 1; lost <= LONGER.length(); lost++) {
      RequestFlowTest request = new RequestFlowTest();
      request.start();
      request.serve(LONGER, lost);
      request.loseUpstream();
      request.serveWhole(SHORTER);
      assertThat(request.error).isEmpty();
      assertThat(request.delivered.toString()).isEqualTo(SHORTER);
    }
  }

  /** Guards against joined counts when the run that was lost had the shorter answer. */
  @Test
  void answerIsThatOfTheSecondRunIfItIsLonger() {
    for (int lost = 1; lost <= SHORTER.length(); lost++) {
      RequestFlowTest request = new RequestFlowTest();
      request.start();
      request.serve(SHORTER, lost);
      request.loseUpstream();
      request.serveWhole(LONGER);
      assertThat(request.error).isEmpty();
      assertThat(request.delivered.toString()).isEqualTo(LONGER);
    }
  }

  /** Guards against a replay that starts anew, or skips bytes, after its link was replaced. */
  @Test
  void replayContinuesAfterItsLinkIsReplaced() {
    start();
    serve(LONGER, TOKENS.length());
    loseUpstream();
    serve(SHORTER, 30);
    handle(new FlowEvent.LinkLost(submit.step()));
    handle(new FlowEvent.Outcome(second.id(), FlowEvent.Outcome.State.ATTACHABLE));
    assertThat(submit.resumePosition()).isEqualTo(30);
    serveWhole(SHORTER);
    assertThat(whole).isTrue();
    assertThat(delivered.toString()).isEqualTo(SHORTER);
  }

  private static String answer(String tokens, int cachedTokens) {
    return tokens
        + "data: {\"delta\":\"\",\"usage\":{\"prompt_tokens\":310,\"cached_tokens\":"
        + cachedTokens
        + "}}\n\ndata: [DONE]\n\n";
  }

  private static Upstream upstream(String id) {
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 9);
    return new Upstream(id, 1, "s", new Zone("z", "r"), address, 1);
  }

  private void start() {
    handle(new FlowEvent.Start());
    handle(new FlowEvent.Submitted(submit.step(), 1));
    handle(new FlowEvent.Accepted(submit.attempt(), 1));
  }

  private void loseUpstream() {
    handle(new FlowEvent.LinkLost(submit.step()));
    handle(new FlowEvent.Unreachable(query.step()));
    assertThat(submit.upstream()).isEqualTo(second);
    handle(new FlowEvent.Submitted(submit.step(), 1));
    handle(new FlowEvent.Accepted(submit.attempt(), 1));
  }

  /** Sends the answer of a run from the position that the entry asked for, as a sidecar does. */
  private void serve(String answer, int end) {
    AnswerBuffer buffer = new AnswerBuffer(1 << 20);
    buffer.append(answer.substring(0, end).getBytes(UTF_8));
    try {
      byte[] data = buffer.read(submit.resumePosition(), Integer.MAX_VALUE);
      handle(
          new FlowEvent.AnswerChunk(
              submit.attempt(),
              submit.resumePosition(),
              ByteString.copyFrom(data),
              200,
              "text/event-stream"));
    } catch (TanagerException e) {
      handle(
          new FlowEvent.Failed(
              submit.upstream().id(), submit.attempt(), e.verdict(), e.code(), "", 0));
    }
  }

  private void serveWhole(String answer) {
    serve(answer, answer.length());
    handle(
        new FlowEvent.AnswerEnded(submit.attempt(), answer.length(), 200, "text/event-stream", 0));
  }

  private void handle(FlowEvent event) {
    flow.handle(event, NOW).forEach(this::perform);
  }

  private void perform(FlowAction action) {
    if (action instanceof FlowAction.Submit s) {
      submit = s;
    } else if (action instanceof FlowAction.Query q) {
      query = q;
    } else if (action instanceof FlowAction.WriteBody body) {
      delivered.append(body.data().toStringUtf8());
    } else if (action instanceof FlowAction.Finish) {
      whole = true;
    } else if (action instanceof FlowAction.SendResponse response) {
      delivered.append(response.body().toStringUtf8());
      whole = true;
    } else if (action instanceof FlowAction.Fail fail) {
      error = Optional.of(fail.error());
    }
  }
}
