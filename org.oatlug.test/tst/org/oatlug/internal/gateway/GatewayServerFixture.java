// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import io.vertx.core.transport.Transport;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import org.oatlug.adapter.PlatformAdapter;
import org.oatlug.adapter.standin.PacedUpstream;
import org.oatlug.adapter.standin.RawUpstream;
import org.oatlug.adapter.standin.SampleObjects;
import org.oatlug.adapter.standin.UpstreamStandin;
import org.oatlug.api.ObjectKey;
import org.oatlug.config.SettingsFile;
import org.oatlug.errors.SettingsInvalidException;
import org.oatlug.gateway.CallerLimits;
import org.oatlug.gateway.GatewayKinds;
import org.oatlug.gateway.GatewaySettings;
import org.oatlug.gateway.RequestHead;
import org.oatlug.gateway.Route;
import org.oatlug.gateway.RouteKind;
import org.oatlug.gateway.RoutingConfiguration;
import org.oatlug.gateway.ServiceDefinition;
import org.oatlug.gateway.UpstreamRecord;
import org.oatlug.internal.forward.ForwardingProtocol;
import org.oatlug.internal.forward.Receivers;
import org.oatlug.internal.limit.AcceptGate;
import org.oatlug.internal.limit.AcceptWindow;
import org.oatlug.internal.limit.RateSenders;
import org.oatlug.internal.membership.Membership;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.util.Json;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;
import org.oatlug.test.Ports;

/**
 * Runs a gateway server and its upstreams in this process, and an action of the test while the
 * server chooses an upstream. Stops what it started on close; used from one thread.
 */
final class GatewayServerFixture implements AutoCloseable {
  static final String HOST = "127.0.0.1";

  /** The headers of a request for a stream. */
  static final String GENERATION = "Model: m\r\nToken-Usage: 100,50\r\nPrefix-Hash: a1:60\r\n";

  private static final int READ_TIMEOUT_MILLIS = 20_000;

  /** The route timeout, longer than any test waits. */
  private static final int TIMEOUT_MILLIS = 120_000;

  private volatile Duration suspendedTime = Duration.ZERO;
  private final GatewayTables tables = GatewayTables.create(this::now);
  private final FailingRegistry registry = new FailingRegistry();
  private final Vertx vertx;
  private final JsonObject loadManagement;
  private volatile Runnable onChoice = () -> {};
  private long revision;
  private GatewayComponents components;
  private GatewayServer server;
  private final AcceptWindow acceptWindow = AcceptWindow.create(this::now);

  GatewayServerFixture() {
    this(Vertx.vertx(), new JsonObject().put("connections", "auto"));
  }

  private GatewayServerFixture(Vertx vertx, JsonObject loadManagement) {
    this.vertx = vertx;
    this.loadManagement = loadManagement;
  }

  /** Returns a server whose sockets buffer little, with a state of the switch "readers". */
  static GatewayServerFixture withReaders(String state) {
    return new GatewayServerFixture(
        Vertx.builder().withTransport(new SmallSocketTransport()).build(),
        new JsonObject().put("readers", state));
  }

  /** Returns a server that uses this transport, without load management. */
  static GatewayServerFixture withTransport(Transport transport) {
    return new GatewayServerFixture(
        Vertx.builder().withTransport(transport).build(), new JsonObject());
  }

  /** Starts an upstream with the given events per stream and registers it. */
  PacedUpstream addPacedUpstream(int events, long pauseMillis) {
    return addPacedUpstream("paced", events, pauseMillis);
  }

  /** Starts an upstream with the given events per stream and registers it by this name. */
  PacedUpstream addPacedUpstream(String name, int events, long pauseMillis) {
    PacedUpstream upstream = PacedUpstream.create(vertx, events, pauseMillis);
    int port = Ports.free();
    upstream.listen(HOST, port).toCompletionStage().toCompletableFuture().join();
    put(GatewayKinds.UPSTREAM, name, record(port, "hall-a", false));
    return upstream;
  }

  /** Starts an upstream whose responses the test sets byte by byte, and registers it. */
  RawUpstream addRawUpstream(String name) {
    RawUpstream upstream = RawUpstream.create(vertx);
    int port = Ports.free();
    upstream.listen(HOST, port).toCompletionStage().toCompletableFuture().join();
    put(GatewayKinds.UPSTREAM, name, record(port, "hall-a", false));
    return upstream;
  }

  /** Returns the bytes that wait for callers. */
  long readAheadBytes() {
    return components.readAhead().heldBytes();
  }

  /** Returns the bytes that are reserved for bodies, including those that wait for callers. */
  long reservedBytes() {
    return components.bodyMemory().reservedBytes();
  }

  /** Returns the number of open requests. */
  int openRequests() {
    return server.openRequests();
  }

  /** Returns the window that limits the connections of callers. */
  AcceptWindow acceptWindow() {
    return acceptWindow;
  }

  /** Returns the value of a counter. */
  long count(String name) {
    return registry.counter(name).getCount();
  }

  /**
   * Sends a request without a body and returns the whole response.
   *
   * @param headers further headers, each with its line end
   * @throws SocketTimeoutException if nothing arrives for a long time
   */
  static String request(int port, String path, String id, String headers) throws IOException {
    try (Socket socket = new Socket(HOST, port)) {
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      String request =
          "POST %s1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nConnection: close\r\n"
                  .formatted(path, HOST, id)
              + headers
              + "Content-Length: 0\r\n\r\n";
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }

  /** Makes the handler that increments the counter fail, at its increment of this number. */
  void failOnCount(String name, int increment) {
    registry.failingCounter = name;
    registry.incrementsLeft.set(increment);
  }

  /** Sets an action to run on the event loop during each choice among candidate upstreams. */
  void onChoice(Runnable action) {
    onChoice = action;
  }

  private Instant now() {
    return Instant.now().plus(suspendedTime);
  }

  /** Advances the clock without advancing timers, as a suspension of the host does. */
  void suspend(Duration time) {
    suspendedTime = suspendedTime.plus(time);
  }

  /** Notifies the instance that it was suspended. */
  void notifySuspension() {
    vertx.runOnContext(unused -> components.handleProcessPause());
  }

  private void put(String kind, String name, Object value) {
    StoredObject object =
        StoredObject.of(
            ObjectKey.valueOf(kind, name),
            StoreRevision.ofNumber(++revision),
            Json.STRICT.valueToTree(value));
    tables.mergeAll(List.of(object));
  }

  /** Starts an upstream and registers it. */
  UpstreamStandin addUpstream(String name, String zone) throws IOException {
    UpstreamStandin upstream = UpstreamStandin.create(vertx, name);
    int port = Ports.free();
    upstream.listen(HOST, port).toCompletionStage().toCompletableFuture().join();
    put(GatewayKinds.UPSTREAM, name, record(port, zone, false));
    return upstream;
  }

  /** Registers an upstream whose address the test serves, or leaves unserved. */
  void addAddress(String name, int port) {
    put(GatewayKinds.UPSTREAM, name, record(port, "hall-a", false));
  }

  /** Returns the components of the server; they are owned by its event loop. */
  GatewayComponents components() {
    return components;
  }

  /** Returns whether the instance takes the service for unreachable, or the upstream as ejected. */
  boolean infersFailureOf(String upstream) {
    return components.paths().isLost(SampleObjects.SERVICE)
        || components.paths().hasFailed(SampleObjects.SERVICE, upstream)
        || tables.row(upstream).failureShare(now()) > 0;
  }

  private static UpstreamRecord record(int port, String zone, boolean leaving) {
    return UpstreamRecord.of(SampleObjects.SERVICE, HOST, port, zone, "v1", 8, leaving);
  }

  /** Marks the upstream as draining. */
  void markDraining(String name) {
    UpstreamRecord upstream = tables.upstream(name).orElseThrow();
    if (!upstream.leaving()) {
      put(GatewayKinds.UPSTREAM, name, record(upstream.port(), upstream.zone(), true));
    }
  }

  /** Makes the upstream ask to back off for the given time. */
  void askToBackOff(String name, Duration time) {
    tables.row(name).extendBackOff(now().plus(time));
  }

  private static Route route(String name, String pathPrefix, RouteKind kind) {
    return new Route(
        name,
        HOST,
        pathPrefix,
        kind,
        TIMEOUT_MILLIS,
        500,
        1,
        1,
        true,
        false,
        false,
        0,
        List.of(),
        List.of(new Route.WeightedTarget(SampleObjects.SERVICE, 1)));
  }

  private static RoutingConfiguration configuration() {
    return new RoutingConfiguration(
        1,
        List.of(
            route("stock", SampleObjects.ONCE, RouteKind.AT_MOST_ONCE),
            route("ask", SampleObjects.STREAM, RouteKind.STREAM)),
        List.of(ServiceDefinition.of(SampleObjects.SERVICE, 100, Optional.empty())),
        CallerLimits.DEFAULT,
        Optional.empty());
  }

  /** Starts the server and returns its port. */
  int listen() throws IOException, SettingsInvalidException {
    put(GatewayKinds.ROUTING, "main", configuration());
    List<Integer> ports = List.of(1, 1, Ports.free(), 1, 1, 1);
    Path file = Files.createTempFile("settings", ".json");
    file.toFile().deleteOnExit();
    Files.writeString(
        file,
        SampleObjects.settings("entry-0", ports, List.of())
            .put("loadManagement", loadManagement)
            .encode());
    GatewaySettings settings = SettingsFile.readGateway(file);
    RandomGenerator interruptedChoice =
        () -> {
          onChoice.run();
          return 0;
        };
    components =
        GatewayComponents.create(
            vertx,
            settings,
            this::now,
            new PlatformAdapter(),
            tables,
            new AnyVersion(),
            forwardingToNobody(),
            RateSenders.alone(),
            () -> 1,
            interruptedChoice,
            Meters.of(registry));
    server =
        GatewayServer.create(
            components, new Random(1), () -> true, AcceptGate.create(this::now), acceptWindow);
    server.listen().toCompletionStage().toCompletableFuture().join();
    return ports.get(2);
  }

  private PeerForwarding forwardingToNobody() {
    Member self = new Member("entry-0", "hall-a", "entry-0", HOST, 1, 1, 0, Member.State.ALIVE);
    Membership membership = Membership.create(self, this::now, new Random(1));
    Meters meters = Meters.of(new MetricRegistry());
    return new PeerForwarding(
        Receivers.create(
            membership,
            (peer, message, timeout) -> Uni.createFrom().failure(new IOException(peer.name())),
            this::now,
            new Random(1),
            meters),
        ForwardingProtocol.withKey("a-key-shared-by-peers"));
  }

  @Override
  public void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  /** Throws an error in place of the lookup of one counter. */
  private static final class FailingRegistry extends MetricRegistry {
    private final AtomicInteger incrementsLeft = new AtomicInteger();
    private volatile String failingCounter = "";

    @Override
    public Counter counter(String name) {
      if (name.equals(failingCounter) && incrementsLeft.decrementAndGet() == 0) {
        throw new OutOfMemoryError("thrown by the test");
      }
      return super.counter(name);
    }
  }

  /** Allows every version, as without a roll-out. */
  private static final class AnyVersion implements VersionRule {
    @Override
    public Optional<VersionPreference> preferenceFor(
        String service, Route route, RequestHead head, PriorAttempts priorAttempts) {
      return Optional.empty();
    }

    @Override
    public void recordSent(String service, String version, RequestHead head) {}

    @Override
    public void recordResponse(Response answer) {}

    @Override
    public void recordUnanswered(Response request) {}

    @Override
    public void recordEventInterval(EventInterval interval) {}

    @Override
    public List<RolloutStatus> status() {
      return List.of();
    }
  }
}
