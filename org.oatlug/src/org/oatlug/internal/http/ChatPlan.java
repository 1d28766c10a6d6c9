// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.smallrye.mutiny.Uni;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerResponse;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oatlug.api.Refusal;
import org.oatlug.api.RefusalReason;
import org.oatlug.errors.ErrorText;
import org.oatlug.errors.RefusedException;
import org.oatlug.internal.billing.Bill;
import org.oatlug.internal.cascade.RatingTable;
import org.oatlug.internal.engine.RatingClient;
import org.oatlug.internal.engine.UpstreamCaller;
import org.oatlug.internal.ledger.ClaimSystem;
import org.oatlug.internal.ledger.LedgerEntry;
import org.oatlug.internal.rollout.RolloutGuard;
import org.oatlug.internal.routing.RouteRequest;
import org.oatlug.internal.routing.RoutingDecision;
import org.oatlug.internal.routing.RoutingDecision.Route;
import org.oatlug.internal.session.SessionToken;
import org.oatlug.internal.util.Json;

/**
 * Processing steps of one chat request.
 *
 * <p>Invariants: a witness has acknowledged the provisional bill before bytes are sent upstream,
 * and the settled bill before the last byte of a complete response is sent, unless none is
 * reachable. A session keeps the version of each model. A request with an idempotency key is
 * claimed first and is not repeatable. Used from one event loop.
 */
final class ChatPlan implements Plan {
  private static final Duration RETRY_AFTER = Duration.ofSeconds(2);
  private static final int TOKENS_PER_PROGRESS_UPDATE = 64;
  private static final int MAXIMUM_RECORDED_BYTES = 32 * 1024;
  private static final String JSON_TYPE = "application/json";

  private final Services services;
  private final CallerRequest request;
  private final ChatBody body;
  private final String task;
  private final Optional<ClaimSystem.Claim> claim;
  private final BillDraft bill;
  private RouteRequest routeRequest;

  ChatPlan(
      Services services, CallerRequest request, ChatBody body, Optional<ClaimSystem.Claim> claim) {
    this.services = services;
    this.request = request;
    this.body = body;
    this.claim = claim;
    this.bill = new BillDraft(services, request, body.promptTokens());
    this.task = request.header(Headers.TASK).orElse("");
    Map<String, String> boundVersions =
        request.session().map(SessionToken::versions).orElse(Map.of());
    this.routeRequest =
        new RouteRequest(
            request.workspaceName(),
            body.model(),
            task,
            boundVersions,
            body.promptTokens(),
            body.prefix(),
            0,
            Set.of());
  }

  @Override
  public String target() {
    return body.model();
  }

  @Override
  public boolean isRepeatable() {
    return claim.isEmpty();
  }

  @Override
  public RoutingDecision decide(Set<String> excluded, Instant now) {
    return services.router().decide(routeRequest.excluding(excluded), services.tables(), now);
  }

  @Override
  public Uni<Void> prepare(Route route) {
    if (services.billing().isFull()) {
      String text = ErrorText.get().witnessFull;
      Refusal refusal = Refusal.retryAfter(RefusalReason.WITNESS_FULL, text, RETRY_AFTER);
      return Uni.createFrom().failure(new RefusedException(refusal));
    }
    Bill provisionalBill = bill.startAttempt(route);
    return bindNamedSession(route)
        .onItem()
        .transformToUni(ignored -> services.billing().open(provisionalBill));
  }

  @Override
  public boolean stillAllowed(Route route) {
    String boundVersion = routeRequest.session().get(route.model());
    if (boundVersion != null && !boundVersion.equals(route.version())) {
      return false;
    }
    return services
        .router()
        .stillAllowed(routeRequest, route, services.tables(), boundVersion == null);
  }

  @Override
  public UpstreamCaller.Call call(Route route) {
    Map<String, String> headers =
        Map.of(
            "Content-Type",
            JSON_TYPE,
            Headers.UPSTREAM_REQUEST_ID,
            request.id(),
            Headers.UPSTREAM_PRIORITY,
            Integer.toString(request.workspace().priority()),
            Headers.WORKSPACE,
            request.workspaceName());
    Duration firstByteTimeout = Duration.ofMillis(services.settings().limits().firstByteMillis());
    return new UpstreamCaller.Call(
        HttpMethod.POST,
        "/v1/chat/completions",
        headers,
        body.forVersion(route.version()),
        isRepeatable(),
        firstByteTimeout);
  }

  @Override
  public void attemptFailed(Route route) {
    services
        .guard()
        .recordOutcome(route.model(), route.version(), RolloutGuard.Measure.ERRORS, true);
  }

  @Override
  public void handleResponse(Route route, HttpClientResponse response, ResponseListener listener) {
    if (!hasMatchingRequestId(response)) {
      response.request().reset();
      listener.interrupted("the answer is of another request");
      return;
    }
    if (!UpstreamCaller.isSuccessful(response)) {
      forwardRefusal(response, listener);
    } else if (body.stream()) {
      stream(route, response, listener);
    } else {
      readWhole(route, response, listener);
    }
  }

  @Override
  public void unanswered(boolean mayHaveRun) {
    if (mayHaveRun) {
      bill.current().ifPresent(this::settle);
      claim.ifPresent(
          granted -> endClaim(granted, LedgerEntry.Outcome.Kind.MAY_HAVE_RUN, Buffer.buffer()));
    } else {
      bill.current().ifPresent(draft -> services.billing().cancel(draft.id()));
      claim.ifPresent(services.claims()::release);
    }
  }

  private void settle(Bill finalBill) {
    services.billing().settle(finalBill).subscribe().with(unused -> {}, request::fail);
  }

  private boolean hasMatchingRequestId(HttpClientResponse response) {
    String echoedId = response.getHeader(Headers.UPSTREAM_REQUEST_ID);
    return echoedId == null || echoedId.equals(request.id());
  }

  private Uni<Void> bindNamedSession(Route route) {
    Optional<String> sessionName =
        request.session().isPresent() ? Optional.empty() : request.header(Headers.SESSION);
    if (sessionName.isEmpty() || routeRequest.session().containsKey(route.model())) {
      return Uni.createFrom().voidItem();
    }
    String key =
        "session\n" + request.workspaceName() + "\n" + sessionName.get() + "\n" + route.model();
    return services
        .ledger()
        .submit(new LedgerEntry.Binding(key, route.version()))
        .invoke(
            result ->
                routeRequest =
                    routeRequest.withSession(
                        Map.of(route.model(), result.bound().orElse(route.version()))))
        .onFailure()
        .transform(
            failure ->
                new RefusedException(
                    Refusal.retryAfter(
                        RefusalReason.LEDGER_UNAVAILABLE,
                        ErrorText.get().ledgerUnavailable,
                        RETRY_AFTER)))
        .replaceWithVoid();
  }

  /** Forwards the engine's refusal of the request itself to the caller. */
  private void forwardRefusal(HttpClientResponse response, ResponseListener listener) {
    int status = response.statusCode();
    WholeResponse.receive(
        services.vertx(),
        response,
        services.settings().limits().firstByteMillis(),
        content -> {
          listener.completed();
          unanswered(claim.isPresent());
          sendUnchanged(status, content);
        },
        listener::interrupted);
  }

  private void sendUnchanged(int status, Buffer content) {
    if (!request.isEnded()) {
      HttpServerResponse callerResponse = request.response();
      callerResponse.setStatusCode(status).putHeader("Content-Type", JSON_TYPE);
      request.finish();
      callerResponse.end(content);
    }
  }

  private void stream(Route route, HttpClientResponse response, ResponseListener listener) {
    if (request.isEnded()) {
      response.request().reset();
      listener.interrupted("the caller went away");
      return;
    }
    HttpServerResponse callerResponse = request.response();
    if (!callerResponse.headWritten()) {
      callerResponse.setChunked(true).putHeader("Content-Type", "text/event-stream");
      putHeaders(callerResponse, route);
    }
    Relay relay = new Relay(route, listener);
    relay.stream = new EventStream(services.vertx(), response, callerResponse, relay);
    relay.stream.start(services.settings().limits().betweenBytesMillis());
  }

  /** Updates the bill and the claim of a streamed response. */
  private final class Relay implements EventStream.Listener {
    private final Route route;
    private final ResponseListener listener;
    private EventStream stream;

    Relay(Route route, ResponseListener listener) {
      this.route = route;
      this.listener = listener;
    }

    @Override
    public void progressed() {
      Bill currentBill = bill.progressed(route, stream.tokens());
      if (stream.tokens() % TOKENS_PER_PROGRESS_UPDATE == 1) {
        services.billing().sendProgress(currentBill);
      }
    }

    @Override
    public void complete(Runnable sendClosingEvent) {
      succeeded(route);
      Bill settled = bill.complete(route, stream.tokens());
      listener.completed();
      services
          .billing()
          .settle(settled)
          .subscribe()
          .with(
              unused -> {
                endClaimOfStream();
                if (!request.isEnded()) {
                  request.finish();
                  sendClosingEvent.run();
                }
                requestRating(route, stream.text())
                    .subscribe()
                    .with(satisfied -> {}, failure -> {});
              },
              failure -> request.fail(failure));
    }

    @Override
    public void interrupted(String problem) {
      bill.progressed(route, stream.tokens());
      listener.interrupted(problem);
    }

    private void endClaimOfStream() {
      claim.ifPresent(
          granted ->
              endClaim(granted, LedgerEntry.Outcome.Kind.RESPONSE_NOT_STORED, Buffer.buffer()));
    }
  }

  private void readWhole(Route route, HttpClientResponse response, ResponseListener listener) {
    WholeResponse.receive(
        services.vertx(),
        response,
        services.settings().limits().firstByteMillis(),
        content -> handleWhole(route, content, listener),
        listener::interrupted);
  }

  private void handleWhole(Route route, Buffer content, ResponseListener listener) {
    JsonNode node = read(content);
    if (!node.path("choices").isArray()) {
      listener.interrupted("its answer is no chat answer");
      return;
    }
    int tokens = node.path("usage").path("completion_tokens").asInt();
    String text = node.path("choices").path(0).path("message").path("content").asText();
    succeeded(route);
    Bill settled = bill.complete(route, tokens);
    requestRating(route, text)
        .subscribe()
        .with(
            satisfied -> {
              if (satisfied.equals(Optional.of(false)) && hasStrongerStage(route)) {
                routeRequest = routeRequest.fromStage(route.stage() + 1);
                listener.escalated();
              } else {
                finishWhole(route, content, settled, listener);
              }
            },
            request::fail);
  }

  private void finishWhole(Route route, Buffer content, Bill settled, ResponseListener listener) {
    listener.completed();
    Uni<Void> outcomeRecorded =
        claim.isPresent()
            ? endClaim(claim.get(), LedgerEntry.Outcome.Kind.ANSWERED, content)
            : Uni.createFrom().voidItem();
    outcomeRecorded
        .onItem()
        .transformToUni(unused -> services.billing().settle(settled))
        .subscribe()
        .with(unused -> sendWhole(route, content), request::fail);
  }

  private void sendWhole(Route route, Buffer content) {
    if (request.isEnded()) {
      return;
    }
    HttpServerResponse callerResponse = request.response();
    callerResponse.putHeader("Content-Type", JSON_TYPE);
    putHeaders(callerResponse, route);
    request.finish();
    callerResponse.end(content);
  }

  private boolean hasStrongerStage(Route route) {
    return services
        .tables()
        .catalogue()
        .cascade(body.model())
        .map(cascade -> route.stage() + 1 < cascade.stages().size())
        .orElse(false);
  }

  private Uni<Optional<Boolean>> requestRating(Route route, String text) {
    RatingClient.Answer answer =
        new RatingClient.Answer(request.id(), request.workspaceName(), task, route.version(), text);
    RatingTable.Subject subject =
        new RatingTable.Subject(request.workspaceName(), task, route.model());
    services.tables().ratings().recordSubmission(subject);
    return services
        .rating()
        .rate(answer)
        .invoke(
            satisfied ->
                satisfied.ifPresent(isSatisfied -> recordRating(route, subject, isSatisfied)));
  }

  private void recordRating(Route route, RatingTable.Subject subject, boolean satisfied) {
    services.tables().ratings().recordRating(subject, satisfied);
    services
        .guard()
        .recordOutcome(route.model(), route.version(), RolloutGuard.Measure.RATINGS, !satisfied);
  }

  private void succeeded(Route route) {
    services.tables().upstreams().row(route.upstream()).rememberPrefix(body.prefix());
    services
        .guard()
        .recordOutcome(route.model(), route.version(), RolloutGuard.Measure.ERRORS, false);
    Duration elapsed = Duration.between(request.started(), services.clock().instant());
    services.meters().time("answer.whole", elapsed);
  }

  private Uni<Void> endClaim(
      ClaimSystem.Claim claimed, LedgerEntry.Outcome.Kind kind, Buffer content) {
    boolean isRecorded = content.length() <= MAXIMUM_RECORDED_BYTES;
    LedgerEntry.Outcome.Kind recordedKind =
        kind == LedgerEntry.Outcome.Kind.ANSWERED && !isRecorded
            ? LedgerEntry.Outcome.Kind.RESPONSE_NOT_STORED
            : kind;
    String text = isRecorded ? content.toString() : "";
    return services
        .claims()
        .recordOutcome(
            new LedgerEntry.Outcome(
                claimed.key(), claimed.attempt(), recordedKind, 200, JSON_TYPE, text));
  }

  private void putHeaders(HttpServerResponse callerResponse, Route route) {
    SessionToken previousToken =
        request
            .session()
            .orElseGet(() -> new SessionToken(request.id(), request.workspaceName(), Map.of()));
    SessionToken updatedToken = previousToken.binding(route.model(), route.version());
    callerResponse.putHeader(Headers.SESSION, updatedToken.sign(services.sessionKeys()));
    callerResponse.putHeader(Headers.REQUEST_ID, request.id());
    callerResponse.putHeader(Headers.VERSION, route.version());
    callerResponse.putHeader(Headers.UPSTREAM, route.upstream());
  }

  private static JsonNode read(Buffer content) {
    try {
      return Json.STRICT.readTree(content.getBytes());
    } catch (IOException e) {
      return Json.STRICT.createObjectNode();
    }
  }
}
