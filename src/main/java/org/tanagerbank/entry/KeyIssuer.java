package org.tanagerbank.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableSet;
import java.security.SecureRandom;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.tanagerbank.contract.ChatKey;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.RequestKey;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.http.HttpErrors;
import org.tanagerbank.http.HttpExchange;
import org.tanagerbank.http.HttpMessage;
import org.tanagerbank.http.Json;
import org.tanagerbank.link.Link;
import org.tanagerbank.machine.Upstream;
import org.tanagerbank.routing.RouteDecision;
import org.tanagerbank.routing.RouteRequest;
import org.tanagerbank.routing.ServiceRouter;

/**
 * Issues idempotency keys that are bound to an upstream which is alive now.
 *
 * <p>The upstream is asked for its incarnation over a link, because the platform's list may name an
 * old one. Thread-safe.
 */
final class KeyIssuer {
  private static final long VALID_MILLIS = 600_000;
  private static final int OK = 200;
  private static final String WORKSPACE = "";

  private final Fleet fleet;
  private final RequestContext context;
  private final SecureRandom random = new SecureRandom();

  KeyIssuer(Fleet fleet, RequestContext context) {
    this.fleet = fleet;
    this.context = context;
  }

  /** Answers a request for a key. */
  void issue(HttpMessage http, HttpExchange exchange) {
    Intake.requireMethod(http, "POST");
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
    new Issue(service, router, exchange).next();
  }

  private final class Issue implements LinkUser {
    private final String service;
    private final ServiceRouter router;
    private final HttpExchange exchange;
    private final Set<String> tried = new HashSet<>();
    private Upstream upstream;
    private UpstreamLink link;

    Issue(String service, ServiceRouter router, HttpExchange exchange) {
      this.service = service;
      this.router = router;
      this.exchange = exchange;
    }

    void next() {
      RouteRequest request =
          new RouteRequest(
              WORKSPACE,
              new ChatKey(random.nextLong()),
              ImmutableSet.copyOf(tried),
              Optional.empty());
      RouteDecision decision = router.choose(request, context.now(), random);
      if (decision instanceof RouteDecision.Send send) {
        upstream = send.upstream();
        tried.add(upstream.id());
        link = context.link(upstream);
        link.join(this);
      } else if (decision instanceof RouteDecision.Refuse refuse) {
        exchange.respond(
            HttpErrors.reply(
                TanagerException.notRun(
                    refuse.code(), "no upstream for a key", refuse.retryAfterMillis())));
      }
    }

    @Override
    public void ready(Link on, long incarnation) {
      link.leave(this);
      long expiry = context.now() + VALID_MILLIS;
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
    public void unreachable() {
      next();
    }

    @Override
    public void lost() {
      // The key was given out before the link was lost.
    }
  }
}
