// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.oatlug.adapter.standin.SampleObjects;
import org.oatlug.adapter.standin.StoreStandin;
import org.oatlug.adapter.standin.UndelimitedUpstream;
import org.oatlug.adapter.standin.UpstreamStandin;
import org.oatlug.pgm.ExitCode;
import org.oatlug.pgm.Oatlug;

/**
 * Runs a store and upstreams in this process, and entry instances that serve routed services as
 * separate processes on the loopback interface. Not thread-safe; {@link #close} stops everything
 * that was started.
 */
final class GatewayCluster implements AutoCloseable {
  private static final String HOST = "127.0.0.1";
  private static final int STREAMS_PER_CHECK = 8;

  private final Path directory = Files.createTempDirectory("oatlug-gateway");
  private final Vertx vertx = Vertx.vertx();

  /**
   * Ports of each instance: those of the store (0), the callers (2), readiness (3), the peers (4)
   * and the metrics (5); index 1 is unused.
   */
  private final List<List<Integer>> ports = new ArrayList<>();

  private final Map<Integer, Process> entries = new TreeMap<>();
  final StoreStandin store = StoreStandin.create(vertx);
  final Map<String, UpstreamStandin> upstreams = new TreeMap<>();
  private final Map<String, Integer> upstreamPorts = new TreeMap<>();
  private final int storePort = Ports.free();
  private JsonObject loadManagement = new JsonObject();
  private int requestCount;

  private GatewayCluster() throws IOException {}

  /** Starts a store with a configuration, upstreams i-1, i-2, ... of version v1, and instances. */
  static GatewayCluster start(int entryCount, int upstreamCount) throws IOException {
    GatewayCluster cluster = new GatewayCluster();
    cluster.startStore();
    cluster.store.put("config", "main", SampleObjects.configuration(1));
    for (int number = 1; number <= upstreamCount; number++) {
      cluster.addUpstream("i-" + number, "v1");
    }
    cluster.startEntries(entryCount);
    for (int entry = 0; entry < entryCount; entry++) {
      cluster.awaitReady(entry);
    }
    return cluster;
  }

  /** Starts a store with this configuration, upstream i-1, and an instance with these switches. */
  static GatewayCluster startManaged(JsonObject configuration, JsonObject loadManagement)
      throws IOException {
    GatewayCluster cluster = new GatewayCluster();
    cluster.loadManagement = loadManagement;
    cluster.startStore();
    cluster.store.put("config", "main", configuration);
    cluster.addUpstream("i-1", "v1");
    cluster.startEntries(1);
    cluster.awaitReady(0);
    return cluster;
  }

  /**
   * Starts a store without a configuration, and instances, and returns without waiting for them.
   */
  static GatewayCluster startEmpty(int entryCount) throws IOException {
    GatewayCluster cluster = new GatewayCluster();
    cluster.startStore();
    cluster.startEntries(entryCount);
    return cluster;
  }

  private void startStore() {
    store.listen(HOST, storePort).toCompletionStage().toCompletableFuture().join();
  }

  private void startEntries(int count) throws IOException {
    for (int entry = 0; entry < count; entry++) {
      ports.add(List.of(storePort, 0, Ports.free(), Ports.free(), Ports.free(), Ports.free()));
    }
    for (int entry = 0; entry < count; entry++) {
      startEntry(entry);
    }
  }

  void startEntry(int entry) throws IOException {
    List<Integer> seeds = ports.stream().map(instancePorts -> instancePorts.get(4)).toList();
    String name = "entry-" + entry;
    JsonObject settings =
        SampleObjects.settings(name, ports.get(entry), seeds).put("loadManagement", loadManagement);
    Path file = directory.resolve(name + ".json");
    Files.writeString(file, settings.encodePrettily());
    // A test run under nohup ignores SIGHUP, and its child processes would inherit that.
    List<String> command = new ArrayList<>(List.of("env", "--default-signal=HUP"));
    command.add(System.getProperty("java.home") + File.separator + "bin" + File.separator + "java");
    command.addAll(List.of("-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp"));
    command.add(System.getProperty("java.class.path"));
    command.addAll(List.of("org.oatlug.entry.Oatlugd", "--gateway", "--settings", file.toString()));
    Process process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log(entry).toFile()))
            .start();
    entries.put(entry, process);
  }

  /** Returns the log file of an instance. */
  Path log(int entry) {
    return directory.resolve("entry-" + entry + ".log");
  }

  Path settingsFile(int entry) {
    return directory.resolve("entry-" + entry + ".json");
  }

  /** Starts an upstream and registers it. */
  UpstreamStandin addUpstream(String name, String version) {
    UpstreamStandin upstream = UpstreamStandin.create(vertx, name);
    int port = Ports.free();
    upstream.listen(HOST, port).toCompletionStage().toCompletableFuture().join();
    upstream.setConfidence("small", 90);
    upstream.setConfidence("large", 90);
    upstreams.put(name, upstream);
    upstreamPorts.put(name, port);
    register(name, name, version);
    return upstream;
  }

  /** Starts an upstream whose responses end with their connection, and registers it. */
  UndelimitedUpstream addUndelimitedUpstream(String name) {
    UndelimitedUpstream upstream = UndelimitedUpstream.create(vertx);
    int port = Ports.free();
    upstream.listen(HOST, port).toCompletionStage().toCompletableFuture().join();
    store.put("servers", name, SampleObjects.upstream(SampleObjects.SERVICE, HOST, port, "v1"));
    return upstream;
  }

  /**
   * Makes an upstream crash on each request whose body contains the text. The upstream restarts
   * under a new name after the given time.
   */
  void crashOn(String name, String text, long downMillis) {
    upstreams.get(name).crashOn(text, downMillis);
    registerAfterRestart(name);
  }

  /** Makes all upstreams crash like {@link #crashOn}, on each request with the prompt part. */
  void crashOnPart(String part, long downMillis) {
    upstreams.forEach(
        (name, upstream) -> {
          upstream.crashOnPart(part, downMillis);
          registerAfterRestart(name);
        });
  }

  private void registerAfterRestart(String name) {
    UpstreamStandin upstream = upstreams.get(name);
    AtomicReference<String> registered = new AtomicReference<>(name);
    upstream.onRestart(
        () -> {
          store.delete("servers", registered.getAndSet(upstream.name()));
          store.put("servers", upstream.name(), entryOf(name));
        });
  }

  /** Returns the total number of crashes of all upstreams. */
  int crashes() {
    return upstreams.values().stream().mapToInt(UpstreamStandin::crashes).sum();
  }

  /** Registers a name at the address of an upstream, which may itself have a different name. */
  void register(String name, String atUpstream, String version) {
    store.put("servers", name, entryOf(atUpstream).put("version", version));
  }

  /** Returns the store entry with which an upstream registers itself when it is ready. */
  JsonObject entryOf(String upstream) {
    int port = upstreamPorts.get(upstream);
    return SampleObjects.upstream(SampleObjects.SERVICE, HOST, port, "v1");
  }

  void awaitReady(int entry) {
    Await.until(
        "entry-" + entry + " ready",
        () -> Http.get(ports.get(entry).get(3), "/ready").status() == 200);
  }

  int readinessPort(int entry) {
    return ports.get(entry).get(3);
  }

  int metricsPort(int entry) {
    return ports.get(entry).get(5);
  }

  int callerPort(int entry) {
    return ports.get(entry).get(2);
  }

  Process process(int entry) {
    return entries.get(entry);
  }

  /** Sends a signal to an instance. */
  void signal(int entry, String signal) throws IOException, InterruptedException {
    String pid = Long.toString(process(entry).pid());
    new ProcessBuilder("kill", "-" + signal, pid).start().waitFor();
  }

  /** Returns a request with the headers that every caller sends and a unique id. */
  HttpRequest.Builder request(int entry, String path) {
    requestCount++;
    return Http.to(callerPort(entry), path)
        .header("Attempt-Id", "request-" + requestCount)
        .header("Request-Deadline", "5000")
        .header("Authorization", "Bearer " + SampleObjects.KEY)
        .POST(HttpRequest.BodyPublishers.ofString("a body"));
  }

  /** Returns a request for a stream that belongs to a session. */
  HttpRequest.Builder streamRequest(int entry, String session) {
    String sessionHash = Integer.toHexString(session.hashCode());
    return promptRequest(entry, "a1:60," + sessionHash + ":40");
  }

  /** Returns a request for a stream with the prompt parts, each with its hash and length. */
  HttpRequest.Builder promptRequest(int entry, String parts) {
    return request(entry, SampleObjects.STREAM + "x")
        .header("Model", "*")
        .header("Token-Usage", "100,50")
        .header("Prefix-Hash", parts);
  }

  /** Returns the number of requests with the prompt part that all upstreams received. */
  int arrivalsWithPart(String part) {
    return upstreams.values().stream()
        .mapToInt(
            upstream ->
                (int) upstream.arrivals().stream().filter(arrival -> arrival.hasPart(part)).count())
        .sum();
  }

  /** Returns the state of the roll-out that the instances wrote to the store, empty for none. */
  String rolloutState() {
    return store.status("rollouts", SampleObjects.SERVICE).getString("state", "");
  }

  /**
   * Sends streams, each of a new session, to all instances in turn until the roll-out has the given
   * state.
   */
  void streamUntilRolloutIs(String state) {
    int[] number = {0};
    Await.until(
        state,
        () -> {
          for (int round = 0; round < STREAMS_PER_CHECK; round++) {
            number[0]++;
            Http.send(streamRequest(number[0] % ports.size(), "s" + number[0]));
          }
          return rolloutState().equals(state);
        });
  }

  /** Runs a command against an instance and returns its output. */
  String command(int entry, String... words) {
    List<String> arguments = new ArrayList<>(List.of(words));
    arguments.addAll(List.of("--instance", HOST + ":" + metricsPort(entry)));
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    PrintStream output = new PrintStream(bytes, true, StandardCharsets.UTF_8);
    assertEquals(Oatlug.run(arguments.toArray(new String[0]), output, output), ExitCode.OK);
    return bytes.toString(StandardCharsets.UTF_8);
  }

  /** Returns the id of the latest request. */
  String lastId() {
    return "request-" + requestCount;
  }

  /** Returns the number of requests that all upstreams received. */
  int arrivals() {
    return upstreams.values().stream().mapToInt(upstream -> upstream.arrivals().size()).sum();
  }

  @Override
  public void close() {
    entries.values().forEach(Process::destroyForcibly);
    for (Process process : entries.values()) {
      try {
        process.waitFor(10, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }
}
