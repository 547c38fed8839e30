package org.tanagerbank.http;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.request.Verdict;

/** Guards against a status that promises "not run" for a request that may have run. */
final class HttpErrorsTest {
  private static final ImmutableSet<Integer> PROMISES = ImmutableSet.of(408, 421, 429, 503);

  @ParameterizedTest
  @EnumSource(ErrorCode.class)
  void statusPromisesNotRunOnlyWithThatVerdict(ErrorCode code) {
    for (Verdict verdict : new Verdict[] {Verdict.MAY_HAVE_RUN, Verdict.RAN}) {
      TanagerException error = TanagerException.of(code, verdict, 1_000, "m");
      assertThat(PROMISES).doesNotContain(HttpErrors.response(error).status());
    }
    TanagerException unsure = TanagerException.notRun(code, "m").asMayHaveRun();
    assertThat(PROMISES).doesNotContain(HttpErrors.response(unsure).status());
  }

  /** Callers that go by the status must still learn that they may send a request again. */
  @ParameterizedTest
  @EnumSource(
      value = ErrorCode.class,
      names = {"OVERLOADED", "WORKSPACE_LIMIT", "LEAVING", "NO_UPSTREAM", "LOG_UNAVAILABLE"})
  void refusalOfARequestThatDidNotRunKeepsItsStatus(ErrorCode code) {
    TanagerException error = TanagerException.notRun(code, "m", 1_000);
    assertThat(PROMISES).contains(HttpErrors.response(error).status());
  }
}
