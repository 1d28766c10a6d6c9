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
import org.oatlug.internal.ledger.ClaimDesk;
import org.oatlug.internal.ledger.LedgerEntry;
import org.oatlug.internal.rollout.RolloutGuard;
import org.oatlug.internal.routing.RouteRequest;
import org.oatlug.internal.routing.RoutingDecision;
import org.oatlug.internal.routing.RoutingDecision.Route;
import org.oatlug.internal.session.SessionToken;
import org.oatlug.internal.util.Json;

/**
 * The way of one chat request.
 *
 * <p>Invariants: the intent to bill is at the witnesses before bytes leave, the settled bill before
 * the last byte of the answer. A session keeps the version of each model. A request with a key is
 * claimed first and is then not repeated. Used from one event loop.
 */
final class ChatPlan implements Plan {
  private static final Duration COME_BACK = Duration.ofSeconds(2);
  private static final int PROGRESS_EVERY = 64;
  private static final int MAXIMUM_KEPT_ANSWER = 32 * 1024;
  private static final String JSON_TYPE = "application/json";

  private final Services services;
  private final CallerRequest request;
  private final ChatBody body;
  private final String task;
  private final Optional<ClaimDesk.Claim> claim;
  private final BillDraft bill;
  private RouteRequest routeRequest;

  ChatPlan(
      Services services, CallerRequest request, ChatBody body, Optional<ClaimDesk.Claim> claim) {
    this.services = services;
    this.request = request;
    this.body = body;
    this.claim = claim;
    this.bill = new BillDraft(services, request, body.promptTokens());
    this.task = request.header(Headers.TASK).orElse("");
    Map<String, String> bound = request.session().map(SessionToken::versions).orElse(Map.of());
    this.routeRequest =
        new RouteRequest(
            request.workspaceName(),
            body.model(),
            task,
            bound,
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
      Refusal refusal = Refusal.retryAfter(RefusalReason.WITNESS_FULL, text, COME_BACK);
      return Uni.createFrom().failure(new RefusedException(refusal));
    }
    Bill intent = bill.intent(route);
    return bindNamedSession(route).onItem().transformToUni(n -> services.billing().open(intent));
  }

  @Override
  public boolean stillAllowed(Route route) {
    String bound = routeRequest.session().get(route.model());
    if (bound != null && !bound.equals(route.version())) {
      return false;
    }
    return services.router().stillAllowed(routeRequest, route, services.tables(), bound == null);
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
    Duration firstByte = Duration.ofMillis(services.settings().limits().firstByteMillis());
    return new UpstreamCaller.Call(
        HttpMethod.POST,
        "/v1/chat/completions",
        headers,
        body.forVersion(route.version()),
        isRepeatable(),
        firstByte);
  }

  @Override
  public void attemptFailed(Route route) {
    services.guard().outcome(route.model(), route.version(), RolloutGuard.Measure.ERRORS, true);
  }

  @Override
  public void answered(Route route, HttpClientResponse response, Ending ending) {
    if (!isOwn(response)) {
      response.request().reset();
      ending.broken("the answer is of another request");
      return;
    }
    if (!UpstreamCaller.isGood(response)) {
      passRefusalOn(response, ending);
    } else if (body.stream()) {
      stream(route, response, ending);
    } else {
      takeWhole(route, response, ending);
    }
  }

  @Override
  public void unanswered(boolean mayHaveRun) {
    if (mayHaveRun) {
      bill.current().ifPresent(this::settle);
      claim.ifPresent(one -> endClaim(one, LedgerEntry.Outcome.Kind.MAY_HAVE_RUN, Buffer.buffer()));
    } else {
      bill.current().ifPresent(one -> services.billing().cancel(one.id()));
      claim.ifPresent(services.claims()::release);
    }
  }

  private void settle(Bill last) {
    services.billing().settle(last).subscribe().with(unused -> {}, request::fail);
  }

  private boolean isOwn(HttpClientResponse response) {
    String echoed = response.getHeader(Headers.UPSTREAM_REQUEST_ID);
    return echoed == null || echoed.equals(request.id());
  }

  private Uni<Void> bindNamedSession(Route route) {
    Optional<String> named =
        request.session().isPresent() ? Optional.empty() : request.header(Headers.SESSION);
    if (named.isEmpty() || routeRequest.session().containsKey(route.model())) {
      return Uni.createFrom().voidItem();
    }
    String key = "session\n" + request.workspaceName() + "\n" + named.get() + "\n" + route.model();
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
                        COME_BACK)))
        .replaceWithVoid();
  }

  /** Passes on that the engine finds fault with the request itself. */
  private void passRefusalOn(HttpClientResponse response, Ending ending) {
    int status = response.statusCode();
    WholeAnswer.take(
        services.vertx(),
        response,
        services.settings().limits().firstByteMillis(),
        content -> {
          ending.whole();
          unanswered(claim.isPresent());
          sendAsIs(status, content);
        },
        ending::broken);
  }

  private void sendAsIs(int status, Buffer content) {
    if (!request.isEnded()) {
      HttpServerResponse answer = request.response();
      answer.setStatusCode(status).putHeader("Content-Type", JSON_TYPE);
      request.finish();
      answer.end(content);
    }
  }

  private void stream(Route route, HttpClientResponse response, Ending ending) {
    if (request.isEnded()) {
      response.request().reset();
      ending.broken("the caller went away");
      return;
    }
    HttpServerResponse answer = request.response();
    if (!answer.headWritten()) {
      answer.setChunked(true).putHeader("Content-Type", "text/event-stream");
      putHeaders(answer, route);
    }
    Relay relay = new Relay(route, ending);
    relay.stream = new EventStream(services.vertx(), response, answer, relay);
    relay.stream.start(services.settings().limits().betweenBytesMillis());
  }

  /** Accounts for a streamed answer. */
  private final class Relay implements EventStream.Listener {
    private final Route route;
    private final Ending ending;
    private EventStream stream;

    Relay(Route route, Ending ending) {
      this.route = route;
      this.ending = ending;
    }

    @Override
    public void progressed() {
      Bill soFar = bill.progressed(route, stream.tokens());
      if (stream.tokens() % PROGRESS_EVERY == 1) {
        services.billing().progress(soFar);
      }
    }

    @Override
    public void complete(Runnable next) {
      succeeded(route);
      Bill settled = bill.complete(route, stream.tokens());
      ending.whole();
      services
          .billing()
          .settle(settled)
          .subscribe()
          .with(
              unused -> {
                endClaimOfStream();
                if (!request.isEnded()) {
                  request.finish();
                  next.run();
                }
                rate(route, stream.text()).subscribe().with(met -> {}, failure -> {});
              },
              failure -> request.fail(failure));
    }

    @Override
    public void broken(String problem) {
      bill.progressed(route, stream.tokens());
      ending.broken(problem);
    }

    private void endClaimOfStream() {
      claim.ifPresent(
          one -> endClaim(one, LedgerEntry.Outcome.Kind.ANSWER_NOT_KEPT, Buffer.buffer()));
    }
  }

  private void takeWhole(Route route, HttpClientResponse response, Ending ending) {
    WholeAnswer.take(
        services.vertx(),
        response,
        services.settings().limits().firstByteMillis(),
        content -> wholeTaken(route, content, ending),
        ending::broken);
  }

  private void wholeTaken(Route route, Buffer content, Ending ending) {
    JsonNode node = read(content);
    if (!node.path("choices").isArray()) {
      ending.broken("its answer is no chat answer");
      return;
    }
    int tokens = node.path("usage").path("completion_tokens").asInt();
    String text = node.path("choices").path(0).path("message").path("content").asText();
    succeeded(route);
    Bill settled = bill.complete(route, tokens);
    rate(route, text)
        .subscribe()
        .with(
            met -> {
              if (met.equals(Optional.of(false)) && hasStrongerStage(route)) {
                routeRequest = routeRequest.fromStage(route.stage() + 1);
                ending.escalate();
              } else {
                finishWhole(route, content, settled, ending);
              }
            },
            request::fail);
  }

  private void finishWhole(Route route, Buffer content, Bill settled, Ending ending) {
    ending.whole();
    Uni<Void> recorded =
        claim.isPresent()
            ? endClaim(claim.get(), LedgerEntry.Outcome.Kind.ANSWERED, content)
            : Uni.createFrom().voidItem();
    recorded
        .onItem()
        .transformToUni(unused -> services.billing().settle(settled))
        .subscribe()
        .with(unused -> sendWhole(route, content), request::fail);
  }

  private void sendWhole(Route route, Buffer content) {
    if (request.isEnded()) {
      return;
    }
    HttpServerResponse answer = request.response();
    answer.putHeader("Content-Type", JSON_TYPE);
    putHeaders(answer, route);
    request.finish();
    answer.end(content);
  }

  private boolean hasStrongerStage(Route route) {
    return services
        .tables()
        .catalogue()
        .cascade(body.model())
        .map(cascade -> route.stage() + 1 < cascade.stages().size())
        .orElse(false);
  }

  private Uni<Optional<Boolean>> rate(Route route, String text) {
    RatingClient.Answer answer =
        new RatingClient.Answer(request.id(), request.workspaceName(), task, route.version(), text);
    RatingTable.Subject subject =
        new RatingTable.Subject(request.workspaceName(), task, route.model());
    services.tables().ratings().handedOver(subject);
    return services
        .rating()
        .rate(answer)
        .invoke(met -> met.ifPresent(one -> rated(route, subject, one)));
  }

  private void rated(Route route, RatingTable.Subject subject, boolean met) {
    services.tables().ratings().rated(subject, met);
    services.guard().outcome(route.model(), route.version(), RolloutGuard.Measure.RATINGS, !met);
  }

  private void succeeded(Route route) {
    services.tables().upstreams().row(route.upstream()).rememberPrefix(body.prefix());
    services.guard().outcome(route.model(), route.version(), RolloutGuard.Measure.ERRORS, false);
    Duration taken = Duration.between(request.started(), services.clock().instant());
    services.meters().time("answer.whole", taken);
  }

  private Uni<Void> endClaim(ClaimDesk.Claim held, LedgerEntry.Outcome.Kind kind, Buffer content) {
    boolean kept = content.length() <= MAXIMUM_KEPT_ANSWER;
    LedgerEntry.Outcome.Kind known =
        kind == LedgerEntry.Outcome.Kind.ANSWERED && !kept
            ? LedgerEntry.Outcome.Kind.ANSWER_NOT_KEPT
            : kind;
    String text = kept ? content.toString() : "";
    return services
        .claims()
        .end(new LedgerEntry.Outcome(held.key(), held.attempt(), known, 200, JSON_TYPE, text));
  }

  private void putHeaders(HttpServerResponse answer, Route route) {
    SessionToken old =
        request
            .session()
            .orElseGet(() -> new SessionToken(request.id(), request.workspaceName(), Map.of()));
    SessionToken bound = old.binding(route.model(), route.version());
    answer.putHeader(Headers.SESSION, bound.sign(services.sessionKeys()));
    answer.putHeader(Headers.REQUEST_ID, request.id());
    answer.putHeader(Headers.VERSION, route.version());
    answer.putHeader(Headers.UPSTREAM, route.upstream());
  }

  private static JsonNode read(Buffer content) {
    try {
      return Json.STRICT.readTree(content.getBytes());
    } catch (IOException e) {
      return Json.STRICT.createObjectNode();
    }
  }
}
