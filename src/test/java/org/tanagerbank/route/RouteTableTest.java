package org.tanagerbank.route;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against requests that take the route of another host or of a shorter prefix. */
final class RouteTableTest {
  private static Route route(String host, String prefix) {
    return new Route(
        host + prefix,
        host,
        prefix,
        RequestKind.IDEMPOTENT,
        1_000,
        100,
        1,
        0,
        false,
        false,
        ImmutableList.of(new WeightedService("s", 1)));
  }

  private static final RouteTable TABLE =
      RouteTable.of(
          ImmutableList.of(
              route("a.example", "/x/"), route("a.example", "/x/y/"), route("b.example", "/")));

  private static Optional<String> find(String host, String target) {
    return TABLE.find(host, target).map(Route::name);
  }

  @Test
  void longestPrefixWins() {
    assertThat(find("a.example", "/x/1")).hasValue("a.example/x/");
    assertThat(find("a.example", "/x/y/1/2?q=/z/")).hasValue("a.example/x/y/");
    assertThat(find("a.example", "/x/y")).hasValue("a.example/x/");
  }

  @Test
  void prefixEndsAtSlash() {
    assertThat(find("a.example", "/xy/1")).isEmpty();
    assertThat(find("a.example", "/x")).isEmpty();
  }

  @Test
  void hostIsComparedWithoutCaseAndPort() {
    assertThat(find("B.Example:8080", "/anything")).hasValue("b.example/");
    assertThat(find("c.example", "/x/1")).isEmpty();
  }

  @Test
  void targetThatIsNoPathHasNoRoute() {
    assertThat(find("b.example", "*")).isEmpty();
  }
}
