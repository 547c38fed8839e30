package org.tanagerbank.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableSet;
import java.security.SecureRandom;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.tanagerbank.http.HttpErrors;
import org.tanagerbank.http.HttpExchange;
import org.tanagerbank.http.HttpRequestMessage;
import org.tanagerbank.http.Json;
import org.tanagerbank.instance.Upstream;
import org.tanagerbank.link.Link;
import org.tanagerbank.request.ChatKey;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.RequestKey;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.routing.RouteDecision;
import org.tanagerbank.routing.RouteRequest;
import org.tanagerbank.routing.ServiceRouter;

/**
 * Issues idempotency keys that are bound to an upstream that is currently reachable.
 *
 * <p>The incarnation of the upstream is read from the Hello of a link to its sidecar, because the
 * platform's instance list may contain an outdated one. Thread-safe.
 */
final class KeyIssuer {
  /** The time in milliseconds for which an issued key is valid: 10 minutes. */
  private static final long KEY_VALIDITY_MILLIS = 600_000;

  private static final int OK = 200;

  /** The workspace passed to the router; a key is issued to no particular workspace. */
  private static final String NO_WORKSPACE = "";

  private final FleetState fleet;
  private final RequestContext context;
  private final SecureRandom random = new SecureRandom();

  KeyIssuer(FleetState fleet, RequestContext context) {
    this.fleet = fleet;
    this.context = context;
  }

  /**
   * Answers a request for a key, once a link to an upstream is ready.
   *
   * @throws TanagerException if the request is not valid
   */
  void issue(HttpRequestMessage http, HttpExchange exchange) {
    RequestValidator.requireMethod(http, "POST");
    ObjectNode body = Json.parseObject(http.body());
    if (!body.path("service").isTextual()) {
      throw TanagerException.notRun(ErrorCode.BAD_REQUEST, "\"service\" must be a string");
    }
    String service = body.path("service").asText();
    ServiceRouter router =
        fleet
            .router(service)
            .orElseThrow(
                () ->
                    TanagerException.notRun(
                        ErrorCode.UNKNOWN_SERVICE, "no service \"" + service + "\""));
    new KeyRequest(service, router, exchange).tryNextUpstream();
  }

  /** Binds one key: tries upstreams until a link to one of them is ready. */
  private final class KeyRequest implements LinkUser {
    private final String service;
    private final ServiceRouter router;
    private final HttpExchange exchange;
    private final Set<String> tried = new HashSet<>();
    private Upstream upstream;
    private UpstreamLink link;

    KeyRequest(String service, ServiceRouter router, HttpExchange exchange) {
      this.service = service;
      this.router = router;
      this.exchange = exchange;
    }

    void tryNextUpstream() {
      RouteRequest request =
          new RouteRequest(
              NO_WORKSPACE,
              new ChatKey(random.nextLong()),
              ImmutableSet.copyOf(tried),
              Optional.empty());
      RouteDecision decision = router.choose(request, context.now(), random);
      if (decision instanceof RouteDecision.Send send) {
        upstream = send.upstream();
        tried.add(upstream.id());
        link = context.link(upstream);
        link.acquire(this);
      } else if (decision instanceof RouteDecision.Refuse refuse) {
        exchange.respond(
            HttpErrors.response(
                TanagerException.notRun(
                    refuse.code(),
                    "no upstream is available to bind the key to",
                    refuse.retryAfterMillis())));
      }
    }

    @Override
    public void onReady(Link readyLink, long incarnation) {
      link.release(this);
      long expiry = context.now() + KEY_VALIDITY_MILLIS;
      RequestKey key =
          new RequestKey(service, upstream.id(), incarnation, expiry, random.nextLong());
      exchange.respond(
          HttpErrors.json(
              OK,
              Json.object()
                  .put("key", key.toString())
                  .put("service", service)
                  .put("expiresAtMillis", expiry)));
    }

    @Override
    public void onUnreachable() {
      tryNextUpstream();
    }

    @Override
    public void onLost() {
      // The key has already been issued.
    }
  }
}
