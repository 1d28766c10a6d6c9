// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import static org.testng.Assert.assertEquals;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonProcessingException;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.random.RandomGenerator;
import org.oatlug.adapter.PlatformAdapter;
import org.oatlug.adapter.standin.SampleObjects;
import org.oatlug.adapter.standin.UpstreamStandin;
import org.oatlug.api.ObjectKey;
import org.oatlug.gateway.CallerLimits;
import org.oatlug.gateway.GatewayKinds;
import org.oatlug.gateway.GatewaySettings;
import org.oatlug.gateway.RequestHead;
import org.oatlug.gateway.Route;
import org.oatlug.gateway.RouteKind;
import org.oatlug.gateway.RoutingConfiguration;
import org.oatlug.gateway.ServiceDefinition;
import org.oatlug.gateway.UpstreamRecord;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.util.Json;
import org.oatlug.platform.StoredObject;
import org.oatlug.test.Ports;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * A request that was chosen an upstream which leaves before the connection to it is open.
 *
 * <p>Symptom: requests reached upstreams that had said that they leave. Sequence: the choice, then
 * the news, then the connection opens (up to 400 ms, or longer in a process that stood still), then
 * the request is written. Cause: nothing looked at the entry again between the choice and the
 * write. Found by reading; before the repair the first test saw the request at the upstream that
 * leaves, with the line "is sent though the upstream leaves".
 */
public class LeavingUpstreamTest {
  private static final String HOST = "127.0.0.1";
  private static final String NEAR = "near";
  private static final String FAR = "far";

  private GatewayTables tables;
  private Vertx vertx;
  private UpstreamStandin near;
  private UpstreamStandin far;
  private Runnable afterChoice;
  private long revision;

  @BeforeMethod
  void begin() throws IOException {
    tables = GatewayTables.create();
    vertx = Vertx.vertx();
    near = UpstreamStandin.create(vertx, NEAR);
    far = UpstreamStandin.create(vertx, FAR);
    afterChoice = () -> {};
  }

  @AfterMethod
  void end() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private void put(String kind, String name, Object value) {
    StoredObject object =
        new StoredObject(ObjectKey.valueOf(kind, name), ++revision, Json.STRICT.valueToTree(value));
    tables.mergeAll(List.of(object));
  }

  private void register(UpstreamStandin upstream, String name, String zone) {
    int port = Ports.free();
    upstream.listen(HOST, port).toCompletionStage().toCompletableFuture().join();
    put(GatewayKinds.UPSTREAM, name, record(port, zone, false));
  }

  private static UpstreamRecord record(int port, String zone, boolean leaving) {
    return new UpstreamRecord(SampleObjects.SERVICE, HOST, port, zone, "v1", 8, leaving);
  }

  private void leaves(String name) {
    UpstreamRecord known = tables.upstream(name).orElseThrow();
    if (!known.leaving()) {
      put(GatewayKinds.UPSTREAM, name, record(known.port(), known.zone(), true));
    }
  }

  private static RoutingConfiguration configuration() {
    Route route =
        new Route(
            "stock",
            HOST,
            SampleObjects.ONCE,
            RouteKind.AT_MOST_ONCE,
            5000,
            500,
            1,
            1,
            true,
            false,
            false,
            0,
            List.of(),
            List.of(new Route.WeightedTarget(SampleObjects.SERVICE, 1)));
    return new RoutingConfiguration(
        1,
        List.of(route),
        List.of(new ServiceDefinition(SampleObjects.SERVICE, 100, Optional.empty())),
        CallerLimits.DEFAULT,
        Optional.empty());
  }

  /** Starts a front whose choice runs {@code afterChoice} once it has its candidates. */
  private int startFront() throws JsonProcessingException {
    put(GatewayKinds.ROUTING, "main", configuration());
    List<Integer> ports = List.of(1, 1, Ports.free(), 1, 1, 1);
    JsonObject text = SampleObjects.settings("entry-0", ports, List.of());
    GatewaySettings settings = Json.STRICT.readValue(text.encode(), GatewaySettings.class);
    RandomGenerator choosing =
        () -> {
          afterChoice.run();
          return 0;
        };
    GatewayParts parts =
        GatewayParts.create(
            vertx,
            settings,
            Instant::now,
            new PlatformAdapter(),
            tables,
            new AnyVersion(),
            choosing,
            Meters.of(new MetricRegistry()));
    CallerFront.create(parts, new Random(1))
        .listen()
        .toCompletionStage()
        .toCompletableFuture()
        .join();
    return ports.get(2);
  }

  private static HttpResponse<String> send(int port) throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + port + SampleObjects.ONCE + "1"))
            .header("Attempt-Id", "request-1")
            .header("Request-Deadline", "5000")
            .POST(HttpRequest.BodyPublishers.ofString("a body"))
            .build();
    return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
  }

  @Test
  public void testRequestGoesElsewhereWhenItsUpstreamLeavesBeforeItIsWritten() throws Exception {
    register(near, NEAR, "hall-a");
    register(far, FAR, "hall-b");
    int port = startFront();
    afterChoice = () -> leaves(NEAR);
    assertEquals(send(port).statusCode(), 200);
    assertEquals(near.arrivals().size(), 0, "at the upstream that leaves");
    assertEquals(far.arrivals().size(), 1, "at the other one");
  }

  @Test
  public void testRequestIsRefusedAsNotRunWhenNoOtherUpstreamIsLeft() throws Exception {
    register(near, NEAR, "hall-a");
    int port = startFront();
    afterChoice = () -> leaves(NEAR);
    assertEquals(send(port).statusCode(), 503);
    assertEquals(near.arrivals().size(), 0, "at the upstream that leaves");
  }

  /** No roll-out runs. */
  private static final class AnyVersion implements VersionRule {
    @Override
    public Optional<Wish> wishFor(String service, RequestHead head, Optional<String> lastFailed) {
      return Optional.empty();
    }

    @Override
    public void sent(String service, String version, RequestHead head) {}

    @Override
    public void answered(Answer answer) {}

    @Override
    public void paced(Pace pace) {}
  }
}
