// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.entry;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.oatlug.adapter.PlatformAdapter;
import org.oatlug.adapter.standin.SampleObjects;
import org.oatlug.adapter.standin.StoreStandin;
import org.oatlug.adapter.standin.UpstreamStandin;
import org.oatlug.config.SettingsFile;
import org.oatlug.entry.PartitionableTransport.Partition;
import org.oatlug.errors.SettingsInvalidException;
import org.oatlug.internal.limit.AcceptWindow;
import org.oatlug.test.Await;
import org.oatlug.test.Http;
import org.oatlug.test.Ports;

/**
 * Runs a store, upstreams and entry instances in this process; each instance can be partitioned
 * from the upstreams. Used from one thread; {@link #close} stops everything that was started.
 */
final class GatewayFleet implements AutoCloseable {
  private static final String HOST = "127.0.0.1";
  private static final int TIMEOUT_MILLIS = 10_000;

  private final Vertx vertx = Vertx.vertx();
  private final int storePort = Ports.free();
  private final List<Instance> instances = new ArrayList<>();
  private final Map<String, Integer> upstreamPorts = new HashMap<>();
  private int requestCount;
  final StoreStandin store = StoreStandin.create(vertx);
  final Map<String, UpstreamStandin> upstreams = new TreeMap<>();

  /**
   * One instance with its ports, in the order of {@link SampleObjects#settings}, the second for
   * forwarded requests.
   */
  private record Instance(
      List<Integer> ports,
      String zone,
      PartitionableTransport transport,
      Vertx vertx,
      GatewayInstance verticle) {}

  private GatewayFleet() {}

  /**
   * Starts instances of one zone that limit the connections they accept, and upstreams; these
   * instances cannot be partitioned.
   */
  static GatewayFleet startLimited(int instanceCount, int upstreamCount)
      throws IOException, SettingsInvalidException {
    GatewayFleet fleet = new GatewayFleet();
    await(fleet.store.listen(HOST, fleet.storePort));
    fleet.store.put("config", "main", configuration());
    for (int number = 1; number <= upstreamCount; number++) {
      fleet.addUpstream("i-" + number);
    }
    List<List<Integer>> ports = new ArrayList<>();
    for (int index = 0; index < instanceCount; index++) {
      ports.add(fleet.freePorts());
    }
    List<Integer> seeds = ports.stream().map(each -> each.get(4)).toList();
    for (int index = 0; index < instanceCount; index++) {
      fleet.startLimitedInstance(index, ports.get(index), seeds);
    }
    for (int index = 0; index < instanceCount; index++) {
      fleet.awaitReady(index);
    }
    return fleet;
  }

  private void startLimitedInstance(int index, List<Integer> ports, List<Integer> seeds)
      throws IOException, SettingsInvalidException {
    Path file =
        settingsFile(index, ports, "hall-a", seeds, new JsonObject().put("accepting", "on"));
    GatewayInstance verticle =
        new GatewayInstance(SettingsFile.readGateway(file), new PlatformAdapter());
    Vertx limited =
        Vertx.builder()
            .with(new VertxOptions().setEventLoopPoolSize(1))
            .withTransport(
                PreboundSocket.open(file)
                    .orElseThrow()
                    .transport(verticle.acceptGate(), verticle.acceptWindow()))
            .build();
    instances.add(new Instance(ports, "hall-a", new PartitionableTransport(), limited, verticle));
    await(limited.deployVerticle(verticle));
  }

  /** Returns the limit of accepted connections of a limited instance. */
  AcceptWindow acceptWindow(int index) {
    return instances.get(index).verticle().acceptWindow();
  }

  /** Blocks the event loop of an instance again and again; returns an action that ends it. */
  Runnable slowDown(int index, long blockedMillis) {
    Vertx slow = instances.get(index).vertx();
    long timer = slow.setPeriodic(blockedMillis / 4, unused -> Await.pause(blockedMillis));
    return () -> slow.cancelTimer(timer);
  }

  /** Returns the port on which an instance serves callers. */
  int callerPort(int index) {
    return instances.get(index).ports().get(2);
  }

  private List<Integer> freePorts() {
    return List.of(storePort, Ports.free(), Ports.free(), Ports.free(), Ports.free(), Ports.free());
  }

  /** Starts one instance in each of the given zones, and upstreams i-1, i-2, ... of zone hall-a. */
  static GatewayFleet start(List<String> zones, int upstreamCount)
      throws IOException, SettingsInvalidException {
    GatewayFleet fleet = new GatewayFleet();
    await(fleet.store.listen(HOST, fleet.storePort));
    fleet.store.put("config", "main", configuration());
    for (int number = 1; number <= upstreamCount; number++) {
      fleet.addUpstream("i-" + number);
    }
    zones.forEach(fleet::addInstance);
    for (int index = 0; index < zones.size(); index++) {
      fleet.startInstance(index);
    }
    for (int index = 0; index < zones.size(); index++) {
      fleet.awaitReady(index);
    }
    return fleet;
  }

  /** Returns a configuration whose timeouts leave a stream the time to continue elsewhere. */
  private static JsonObject configuration() {
    JsonObject configuration = SampleObjects.configuration(1);
    for (Object route : configuration.getJsonArray("routes")) {
      ((JsonObject) route).put("timeout-ms", TIMEOUT_MILLIS);
    }
    return configuration;
  }

  static <T> T await(Future<T> future) {
    return future.toCompletionStage().toCompletableFuture().join();
  }

  private void addUpstream(String name) {
    UpstreamStandin upstream = UpstreamStandin.create(vertx, name);
    int port = Ports.free();
    await(upstream.listen(HOST, port));
    upstream.setConfidence("small", 90);
    upstreams.put(name, upstream);
    upstreamPorts.put(name, port);
    store.put("servers", name, SampleObjects.upstream(SampleObjects.SERVICE, HOST, port, "v1"));
  }

  private void addInstance(String zone) {
    PartitionableTransport transport = new PartitionableTransport();
    VertxOptions options = new VertxOptions().setEventLoopPoolSize(1);
    instances.add(
        new Instance(
            freePorts(),
            zone,
            transport,
            Vertx.builder().with(options).withTransport(transport).build(),
            null));
  }

  private static Path settingsFile(
      int index, List<Integer> ports, String zone, List<Integer> seeds, JsonObject loadManagement)
      throws IOException {
    JsonObject settings = SampleObjects.settings("entry-" + index, ports, seeds);
    Path file = Files.createTempFile("oatlug-fleet", ".json");
    file.toFile().deleteOnExit();
    settings.put("zone", zone);
    settings.put("loadManagement", loadManagement);
    settings.getJsonObject("peers").put("forwarding", ports.get(1));
    return Files.writeString(file, settings.encode());
  }

  private void startInstance(int index) throws IOException, SettingsInvalidException {
    Instance instance = instances.get(index);
    List<Integer> seeds = instances.stream().map(peer -> peer.ports().get(4)).toList();
    Path file =
        settingsFile(
            index,
            instance.ports(),
            instance.zone(),
            seeds,
            new JsonObject().put("readers", "auto"));
    GatewayInstance verticle =
        new GatewayInstance(SettingsFile.readGateway(file), new PlatformAdapter());
    await(instance.vertx().deployVerticle(verticle));
  }

  private void awaitReady(int index) {
    int port = instances.get(index).ports().get(3);
    Await.until("entry-" + index + " ready", () -> Http.get(port, "/ready").status() == 200);
  }

  /** Partitions an instance from all upstreams; {@link Partition#NONE} ends the partition. */
  void partition(int index, Partition partition) {
    instances.get(index).transport().partition(partition, Set.copyOf(upstreamPorts.values()));
  }

  /** Stops an instance without a shutdown, as a crash does. */
  void kill(int index) {
    await(instances.get(index).vertx().close());
  }

  /** Returns a request to an instance with the headers that every caller sends and a unique id. */
  HttpRequest.Builder request(int index, String path) {
    return repeatedRequest(index, path + (requestCount + 1));
  }

  /** Returns a request that differs from others for the same path in its id only. */
  HttpRequest.Builder repeatedRequest(int index, String path) {
    requestCount++;
    return Http.to(instances.get(index).ports().get(2), path)
        .header("Attempt-Id", "request-" + requestCount)
        .header("Request-Deadline", "10000")
        .header("Authorization", "Bearer " + SampleObjects.KEY)
        .POST(HttpRequest.BodyPublishers.ofString("a body"));
  }

  /** Returns a request for a stream. */
  HttpRequest.Builder streamRequest(int index) {
    return request(index, SampleObjects.STREAM)
        .header("Model", "*")
        .header("Token-Usage", "100,50")
        .header("Prefix-Hash", "a1:60,b" + requestCount + ":40");
  }

  /** Returns the id of the latest request. */
  String lastId() {
    return "request-" + requestCount;
  }

  /** Returns the requests that all upstreams received. */
  List<UpstreamStandin.Arrival> arrivals() {
    return upstreams.values().stream().flatMap(each -> each.arrivals().stream()).toList();
  }

  /** Returns the arrivals of the request with the id. */
  List<UpstreamStandin.Arrival> arrivalsOf(String id) {
    return arrivals().stream()
        .filter(arrival -> arrival.header("Attempt-Id").equals(Optional.of(id)))
        .toList();
  }

  /** Returns the text of an instance's counters. */
  String metrics(int index) throws IOException {
    return Http.get(instances.get(index).ports().get(5), "/metrics").body();
  }

  /** Returns the value of a counter of an instance, 0 if it has counted nothing. */
  double counter(int index, String name) throws IOException {
    return metrics(index)
        .lines()
        .filter(line -> line.startsWith(name))
        .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
        .sum();
  }

  /** Returns the port on which an instance takes forwarded requests. */
  int forwardingPort(int index) {
    return instances.get(index).ports().get(1);
  }

  /** Sends a request over a connection that the test can close at any time. */
  Socket sendRaw(int index, String path) throws IOException {
    requestCount++;
    Socket socket = new Socket(HOST, instances.get(index).ports().get(2));
    String head =
        "POST %s%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nAuthorization: Bearer %s\r\n"
            .formatted(path, requestCount, HOST, lastId(), SampleObjects.KEY);
    String request = head + "Content-Length: 0\r\n\r\n";
    socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
    return socket;
  }

  @Override
  public void close() {
    instances.forEach(instance -> await(instance.vertx().close()));
    await(vertx.close());
  }
}
