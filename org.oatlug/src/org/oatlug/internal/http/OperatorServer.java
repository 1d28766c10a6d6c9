// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.http;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Future;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.io.IOException;
import java.io.StringWriter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.oatlug.api.ObjectKey;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.peer.PeerMessage;
import org.oatlug.internal.routing.RouteRequest;
import org.oatlug.internal.routing.RoutingDecision;
import org.oatlug.internal.table.UpstreamRow;
import org.oatlug.internal.util.Json;
import org.oatlug.platform.StoreRevision;

/**
 * HTTP server for operators and the platform's load balancer, on a separate port: {@code /healthz},
 * {@code /readyz}, {@code /metrics}, {@code /status}, {@code /explain} and {@code /in-force}. Used
 * from one event loop.
 */
public final class OperatorServer {
  private static final Duration PEER_TIMEOUT = Duration.ofMillis(800);
  private static final int UNAVAILABLE = 503;

  private final Services services;
  private final BooleanSupplier ready;
  private final CollectorRegistry collectors = new CollectorRegistry();

  private OperatorServer(Services services, BooleanSupplier ready) {
    this.services = services;
    this.ready = ready;
    collectors.register(new DropwizardExports(services.registry()));
  }

  /**
   * Creates the server of an instance, which does not listen yet.
   *
   * @param ready whether the instance may receive requests of callers
   */
  public static OperatorServer create(Services services, BooleanSupplier ready) {
    return new OperatorServer(services, ready);
  }

  /** Starts to accept connections of operators. */
  public Future<HttpServer> listen() {
    Router router = Router.router(services.vertx());
    router.get("/healthz").handler(context -> context.response().end("ok\n"));
    router.get("/readyz").handler(this::ready);
    router.get("/metrics").handler(this::metrics);
    router.get("/status").handler(this::status);
    router.get("/explain").handler(this::explain);
    router.get("/in-force").handler(this::inForce);
    return services
        .vertx()
        .createHttpServer()
        .requestHandler(router)
        .listen(services.settings().operators().port(), services.settings().operators().host());
  }

  private void ready(RoutingContext context) {
    if (ready.getAsBoolean()) {
      context.response().end("ready\n");
    } else {
      context.response().setStatusCode(UNAVAILABLE).end("not ready\n");
    }
  }

  private void metrics(RoutingContext context) {
    StringWriter text = new StringWriter();
    try {
      TextFormat.write004(text, collectors.metricFamilySamples());
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    context.response().putHeader("Content-Type", TextFormat.CONTENT_TYPE_004);
    context.response().end(text.toString());
  }

  private void status(RoutingContext context) {
    ObjectNode responseBody = Json.STRICT.createObjectNode();
    responseBody.put("name", services.settings().name());
    responseBody.put("zone", services.settings().zone());
    responseBody.put("ready", ready.getAsBoolean());
    responseBody.put("reader", services.membership().isReader());
    responseBody.put("openRequests", services.open().count());
    responseBody.put("unconfirmedBills", services.billing().unconfirmedCount());
    responseBody.put("heldBills", services.billing().heldCount());
    responseBody.put("unrecordedOutcomes", services.claims().unrecordedCount());
    services
        .tables()
        .freshness()
        .age(services.clock().instant())
        .ifPresent(age -> responseBody.put("configurationAgeMillis", age.toMillis()));
    ArrayNode instances = responseBody.putArray("instances");
    for (Member member : services.membership().all()) {
      instances
          .addObject()
          .put("name", member.name())
          .put("zone", member.zone())
          .put("state", member.state().name());
    }
    ArrayNode upstreams = responseBody.putArray("upstreams");
    for (UpstreamRow row : services.tables().upstreams().all()) {
      upstreams
          .addObject()
          .put("name", row.name())
          .put("inFlight", row.inFlight())
          .put("expectedLoad", row.expectedLoad())
          .put("leaving", row.isLeaving());
    }
    send(context, responseBody);
  }

  private void explain(RoutingContext context) {
    RouteRequest request =
        new RouteRequest(
            parameter(context, "workspace"),
            parameter(context, "model"),
            parameter(context, "task"),
            Map.of(),
            0,
            0,
            0,
            Set.of());
    RoutingDecision decision =
        services.router().decide(request, services.tables(), services.clock().instant());
    send(context, Json.STRICT.valueToTree(decision));
  }

  /** Sends the revision of an object that each live instance applies. */
  private void inForce(RoutingContext context) {
    ObjectKey key = ObjectKey.valueOf(parameter(context, "kind"), parameter(context, "name"));
    ObjectNode responseBody = Json.STRICT.createObjectNode();
    ObjectNode versions = responseBody.putObject("instances");
    StoreRevision ownRevision = services.tables().catalogue().revisionOf(key.kind(), key.name());
    versions.set(services.settings().name(), Json.STRICT.valueToTree(ownRevision));
    List<Uni<StoreRevision>> queries = new ArrayList<>();
    for (Member member : services.membership().live()) {
      if (!services.membership().isSelf(member)) {
        queries.add(
            revisionAt(member, key)
                .invoke(
                    peerRevision ->
                        versions.set(member.name(), Json.STRICT.valueToTree(peerRevision))));
      }
    }
    if (queries.isEmpty()) {
      send(context, responseBody);
      return;
    }
    Uni.join().all(queries).andFailFast().subscribe().with(unused -> send(context, responseBody));
  }

  private Uni<StoreRevision> revisionAt(Member member, ObjectKey key) {
    return services
        .network()
        .sendRequest(member, new PeerMessage.VersionQuery(key), PEER_TIMEOUT)
        .map(message -> ((PeerMessage.VersionAnswer) message).revision())
        .onFailure()
        .recoverWithItem(StoreRevision.NONE);
  }

  private static String parameter(RoutingContext context, String name) {
    String value = context.request().getParam(name);
    return value == null ? "" : value;
  }

  private static void send(RoutingContext context, ObjectNode responseBody) {
    context.response().putHeader("Content-Type", "application/json");
    context.response().end(responseBody.toString());
  }
}
