package org.tanagerbank.route;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Tests the lookup of routes.
 *
 * <p>Guards against requests that get the route of another host or of a shorter prefix, because the
 * host is compared with its port or case, or a prefix matches in the middle of a path segment.
 */
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
  void longestPrefixMatches() {
    assertThat(find("a.example", "/x/1")).hasValue("a.example/x/");
    assertThat(find("a.example", "/x/y/1/2?q=/z/")).hasValue("a.example/x/y/");
    assertThat(find("a.example", "/x/y")).hasValue("a.example/x/");
  }

  @Test
  void prefixMatchesOnlyWholePathSegments() {
    assertThat(find("a.example", "/xy/1")).isEmpty();
    assertThat(find("a.example", "/x")).isEmpty();
  }

  @Test
  void hostMatchIgnoresCaseAndPort() {
    assertThat(find("B.Example:8080", "/anything")).hasValue("b.example/");
    assertThat(find("c.example", "/x/1")).isEmpty();
  }

  @Test
  void targetWithoutPathMatchesNoRoute() {
    assertThat(find("b.example", "*")).isEmpty();
  }
}
