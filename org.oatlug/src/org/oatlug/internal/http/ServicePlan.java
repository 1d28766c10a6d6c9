// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.http;

import io.smallrye.mutiny.Uni;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oatlug.internal.engine.UpstreamCaller;
import org.oatlug.internal.ledger.ClaimSystem;
import org.oatlug.internal.ledger.LedgerEntry;
import org.oatlug.internal.routing.RouteRequest;
import org.oatlug.internal.routing.RoutingDecision;
import org.oatlug.internal.routing.RoutingDecision.Route;

/**
 * Processing steps of one request to a plain service.
 *
 * <p>Invariant: the outcome of a claimed request is recorded in the ledger, or queued for it,
 * before the response is sent to the caller. Used from one event loop.
 */
final class ServicePlan implements Plan {
  private static final int MAXIMUM_RECORDED_BYTES = 32 * 1024;
  private static final String DEFAULT_TYPE = "application/octet-stream";

  private final Services services;
  private final CallerRequest request;
  private final Target target;
  private final Buffer body;
  private final Optional<ClaimSystem.Claim> claim;
  private final RouteRequest routeRequest;

  ServicePlan(
      Services services,
      CallerRequest request,
      Target target,
      Buffer body,
      Optional<ClaimSystem.Claim> claim) {
    this.services = services;
    this.request = request;
    this.target = target;
    this.body = body;
    this.claim = claim;
    this.routeRequest =
        new RouteRequest(
            request.workspaceName(), target.application(), "", Map.of(), 0, 0, 0, Set.of());
  }

  /**
   * Target of a request.
   *
   * @param application the name of the application
   * @param method the HTTP method
   * @param path the path including the query
   * @param repeatable whether a request to the route may run more than once
   */
  record Target(String application, HttpMethod method, String path, boolean repeatable) {}

  @Override
  public String target() {
    return target.application();
  }

  @Override
  public boolean isRepeatable() {
    return target.repeatable() && claim.isEmpty();
  }

  @Override
  public RoutingDecision decide(Set<String> excluded, Instant now) {
    return services
        .router()
        .decideService(routeRequest.excluding(excluded), services.tables(), now);
  }

  @Override
  public Uni<Void> prepare(Route route) {
    return Uni.createFrom().voidItem();
  }

  @Override
  public boolean stillAllowed(Route route) {
    boolean serviceExists = services.tables().catalogue().service(target.application()).isPresent();
    return serviceExists
        && services.tables().catalogue().workspace(request.workspaceName()).isPresent();
  }

  @Override
  public UpstreamCaller.Call call(Route route) {
    Map<String, String> headers = new HashMap<>();
    request.header("Content-Type").ifPresent(type -> headers.put("Content-Type", type));
    request
        .header(Headers.IDEMPOTENCY_KEY)
        .ifPresent(key -> headers.put(Headers.IDEMPOTENCY_KEY, key));
    headers.put(Headers.UPSTREAM_REQUEST_ID, request.id());
    headers.put(Headers.WORKSPACE, request.workspaceName());
    Duration firstByteTimeout = Duration.ofMillis(services.settings().limits().firstByteMillis());
    return new UpstreamCaller.Call(
        target.method(), target.path(), headers, body, isRepeatable(), firstByteTimeout);
  }

  @Override
  public void attemptFailed(Route route) {
    services.meters().count("service.attempt-failed");
  }

  @Override
  public void handleResponse(Route route, HttpClientResponse response, ResponseListener listener) {
    WholeResponse.receive(
        services.vertx(),
        response,
        services.settings().limits().firstByteMillis(),
        content -> {
          listener.completed();
          record(response, content)
              .subscribe()
              .with(unused -> send(route, response, content), request::fail);
        },
        listener::interrupted);
  }

  @Override
  public void unanswered(boolean mayHaveRun) {
    if (claim.isEmpty()) {
      return;
    }
    if (!mayHaveRun) {
      services.claims().release(claim.get());
      return;
    }
    services
        .claims()
        .recordOutcome(outcome(LedgerEntry.Outcome.Kind.MAY_HAVE_RUN, 0, DEFAULT_TYPE, ""))
        .subscribe()
        .with(unused -> {}, failure -> {});
  }

  private Uni<Void> record(HttpClientResponse response, Buffer content) {
    if (claim.isEmpty()) {
      return Uni.createFrom().voidItem();
    }
    boolean isRecorded = content.length() <= MAXIMUM_RECORDED_BYTES;
    LedgerEntry.Outcome.Kind kind =
        isRecorded
            ? LedgerEntry.Outcome.Kind.ANSWERED
            : LedgerEntry.Outcome.Kind.RESPONSE_NOT_STORED;
    String text = isRecorded ? content.toString() : "";
    return services
        .claims()
        .recordOutcome(outcome(kind, response.statusCode(), typeOf(response), text));
  }

  private LedgerEntry.Outcome outcome(
      LedgerEntry.Outcome.Kind kind, int status, String type, String text) {
    ClaimSystem.Claim claimed = claim.orElseThrow();
    return new LedgerEntry.Outcome(claimed.key(), claimed.attempt(), kind, status, type, text);
  }

  private void send(Route route, HttpClientResponse response, Buffer content) {
    if (request.isEnded()) {
      return;
    }
    HttpServerResponse callerResponse = request.response();
    callerResponse.setStatusCode(response.statusCode());
    callerResponse.putHeader("Content-Type", typeOf(response));
    callerResponse.putHeader(Headers.REQUEST_ID, request.id());
    callerResponse.putHeader(Headers.UPSTREAM, route.upstream());
    request.finish();
    callerResponse.end(content);
  }

  private static String typeOf(HttpClientResponse response) {
    return Optional.ofNullable(response.getHeader("Content-Type")).orElse(DEFAULT_TYPE);
  }
}
