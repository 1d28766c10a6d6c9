// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.http;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.function.Function;
import org.oatlug.api.Refusal;
import org.oatlug.api.RefusalReason;
import org.oatlug.config.Kinds;
import org.oatlug.config.Service;
import org.oatlug.config.Settings;
import org.oatlug.errors.ErrorText;
import org.oatlug.errors.RefusedException;
import org.oatlug.internal.ledger.ClaimSystem;
import org.oatlug.internal.ledger.LedgerEntry;
import org.oatlug.internal.routing.RouteRequest;
import org.oatlug.internal.util.Hashes;
import org.oatlug.internal.util.Json;
import org.oatlug.internal.util.TlsFiles;

/** HTTP server for requests of callers. Used from one event loop. */
public final class CallerServer {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAXIMUM_HEADER_BYTES = 16 * 1024;
  private static final int TOO_LARGE = 413;
  private static final String SERVICES = "/v1/services/";

  private final Services services;
  private final Admission admission;

  private CallerServer(Services services) {
    this.services = services;
    this.admission = new Admission(services);
  }

  /** Creates the server of an instance, which does not listen yet. */
  public static CallerServer create(Services services) {
    return new CallerServer(services);
  }

  /** Starts to accept connections of callers. */
  public Future<HttpServer> listen() {
    Settings.Listener listener = services.settings().callers();
    HttpServerOptions options =
        new HttpServerOptions()
            .setHost(listener.host())
            .setPort(listener.port())
            .setMaxHeaderSize(MAXIMUM_HEADER_BYTES);
    TlsFiles.apply(listener.tls(), options);
    return services.vertx().createHttpServer(options).requestHandler(router()).listen();
  }

  private Router router() {
    Router router = Router.router(services.vertx());
    int limit = services.settings().limits().bodyBytes();
    router.route().handler(BodyHandler.create(false).setBodyLimit(limit));
    router.post("/v1/chat/completions").handler(this::chat);
    router.get("/v1/models").handler(this::models);
    router.route(SERVICES + "*").handler(this::service);
    router.errorHandler(TOO_LARGE, this::refuseTooLarge);
    router.errorHandler(404, this::refuseUnknownRoute);
    router.errorHandler(405, this::refuseUnknownRoute);
    router.errorHandler(500, this::handleError);
    return router;
  }

  private void chat(RoutingContext context) {
    Optional<CallerRequest> admitted = admission.admit(context);
    if (admitted.isEmpty()) {
      return;
    }
    CallerRequest request = admitted.get();
    try {
      ChatBody body = ChatBody.read(bodyOf(context));
      String fingerprint = Hashes.sha256(body.node().toString());
      claimAndForward(request, fingerprint, claim -> new ChatPlan(services, request, body, claim));
    } catch (RefusedException e) {
      request.refuse(e.refusal());
    }
  }

  private void service(RoutingContext context) {
    Optional<CallerRequest> admitted = admission.admit(context);
    if (admitted.isEmpty()) {
      return;
    }
    CallerRequest request = admitted.get();
    try {
      ServicePlan.Target target = targetOf(context);
      Buffer body = bodyOf(context);
      String fingerprintInput = target.method() + "\n" + target.path() + "\n" + body;
      String fingerprint = Hashes.sha256(fingerprintInput);
      claimAndForward(
          request, fingerprint, claim -> new ServicePlan(services, request, target, body, claim));
    } catch (RefusedException e) {
      request.refuse(e.refusal());
    }
  }

  /**
   * Claims the request if it has an idempotency key, then forwards it or replays the recorded
   * response.
   */
  private void claimAndForward(
      CallerRequest request,
      String fingerprint,
      Function<Optional<ClaimSystem.Claim>, Plan> planFactory) {
    Optional<String> key = request.header(Headers.IDEMPOTENCY_KEY);
    if (key.isEmpty()) {
      new Forwarding(services, request, planFactory.apply(Optional.empty())).start();
      return;
    }
    Uni<ClaimSystem.Claim> claim =
        services.claims().claim(request.workspaceName() + "\n" + key.get(), fingerprint);
    claim
        .subscribe()
        .with(
            granted -> {
              if (granted.recorded().isPresent()) {
                replay(request, granted.recorded().get());
              } else {
                new Forwarding(services, request, planFactory.apply(Optional.of(granted))).start();
              }
            },
            failure -> {
              if (failure instanceof RefusedException refused) {
                request.refuse(refused.refusal());
              } else {
                request.fail(failure);
              }
            });
  }

  private void replay(CallerRequest request, LedgerEntry.Outcome outcome) {
    if (request.isEnded()) {
      return;
    }
    services.meters().count("answer.replayed");
    HttpServerResponse response = request.response();
    response.setStatusCode(outcome.status());
    response.putHeader("Content-Type", outcome.contentType());
    response.putHeader(Headers.REQUEST_ID, request.id());
    response.putHeader(Headers.REPLAYED, "true");
    request.finish();
    response.end(outcome.body());
  }

  private ServicePlan.Target targetOf(RoutingContext context) throws RefusedException {
    String remainder = context.request().uri().substring(SERVICES.length());
    int slash = remainder.indexOf('/');
    String application = slash < 0 ? remainder : remainder.substring(0, slash);
    String path = slash < 0 ? "/" : remainder.substring(slash);
    String method = context.request().method().name();
    return services
        .tables()
        .catalogue()
        .service(application)
        .flatMap(service -> routeOf(service, method, path))
        .map(
            route ->
                new ServicePlan.Target(
                    application, context.request().method(), path, route.repeatable()))
        .orElseThrow(() -> unknownRouteRefusal(method + " " + application + path));
  }

  private static Optional<Service.Route> routeOf(Service service, String method, String path) {
    return service.routes().stream()
        .filter(route -> route.method().equals(method) && path.startsWith(route.prefix()))
        .findFirst();
  }

  private void models(RoutingContext context) {
    try {
      String workspace = admission.authenticate(context.request());
      ObjectNode responseBody = Json.STRICT.createObjectNode();
      responseBody.put("object", "list");
      ArrayNode data = responseBody.putArray("data");
      for (String kind : new String[] {Kinds.MODEL, Kinds.CASCADE}) {
        for (String name : services.tables().catalogue().names(kind)) {
          if (mayUse(workspace, name)) {
            data.addObject().put("id", name).put("object", kind);
          }
        }
      }
      context.response().putHeader("Content-Type", "application/json").end(responseBody.toString());
    } catch (RefusedException e) {
      services.meters().refused(e.refusal().reason());
      Problem.send(context.response(), e.refusal(), UUID.randomUUID().toString());
    }
  }

  private boolean mayUse(String workspace, String target) {
    RouteRequest request = new RouteRequest(workspace, target, "", Map.of(), 0, 0, 0, Set.of());
    return services
        .router()
        .decide(request, services.tables(), services.clock().instant())
        .route()
        .isPresent();
  }

  private void refuseTooLarge(RoutingContext context) {
    int limit = services.settings().limits().bodyBytes();
    String text = ErrorText.format(ErrorText.get().bodyTooLarge, Integer.toString(limit));
    refuse(context, Refusal.notRun(RefusalReason.BODY_TOO_LARGE, text));
  }

  private void refuseUnknownRoute(RoutingContext context) {
    refuse(context, unknownRouteRefusal(context.request().path()).refusal());
  }

  private void handleError(RoutingContext context) {
    logger.atSevere().withCause(context.failure()).log("unhandled exception in a request handler");
    String text = ErrorText.format(ErrorText.get().bodyInvalid, "it cannot be handled");
    refuse(context, Refusal.notRun(RefusalReason.BODY_INVALID, text));
  }

  private void refuse(RoutingContext context, Refusal refusal) {
    services.meters().refused(refusal.reason());
    Problem.send(context.response(), refusal, UUID.randomUUID().toString());
  }

  private static RefusedException unknownRouteRefusal(String route) {
    String text = ErrorText.format(ErrorText.get().routeUnknown, route);
    return new RefusedException(Refusal.notRun(RefusalReason.ROUTE_UNKNOWN, text));
  }

  private static Buffer bodyOf(RoutingContext context) {
    Buffer body = context.body().buffer();
    return body == null ? Buffer.buffer() : body;
  }
}
