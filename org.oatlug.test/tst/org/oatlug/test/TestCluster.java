// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.oatlug.internal.util.Hashes;
import org.oatlug.internal.util.Json;
import org.oatlug.pgm.ExitCode;
import org.oatlug.pgm.Oatlug;
import org.oatlug.standin.TcpRelay;

/**
 * Runs a platform, engines, services, a rating service and entry instances as separate processes on
 * the loopback interface, with a relay in front of the peer port of each instance, and one in front
 * of the platform for each availability zone. Not thread-safe; {@link #close} stops everything that
 * was started.
 */
final class TestCluster implements AutoCloseable {
  static final String KEY = "key-of-the-desk";
  static final String WORKSPACE = "desk";

  private static final String[] ZONES = {"hall-a", "hall-b", "hall-c"};
  private static final String HOST = "127.0.0.1";
  private static final int TEST_VERSIONS = 20;

  private final Path directory;
  private final Vertx vertx = Vertx.vertx();
  private final List<Process> standins = new ArrayList<>();
  private final Map<Integer, Process> entries = new TreeMap<>();
  private final Map<Integer, TcpRelay> peerRelays = new TreeMap<>();
  private final Map<String, TcpRelay> platformRelays = new TreeMap<>();
  private final Map<String, Integer> platformPorts = new TreeMap<>();
  private final List<int[]> entryPorts = new ArrayList<>();
  private final List<Integer> advertisedPorts = new ArrayList<>();
  final int platformPort = Ports.free();
  final int ratingPort = Ports.free();
  final List<Integer> enginePorts = new ArrayList<>();
  final List<Integer> servicePorts = new ArrayList<>();

  private TestCluster(Path directory) {
    this.directory = directory;
  }

  /**
   * Starts a cluster. Instances are numbered from 0 and assigned to the availability zones in turn.
   */
  static TestCluster start(int entryCount, int engineCount, int serviceCount) throws IOException {
    return startWith(entryCount, engineCount, serviceCount, false);
  }

  /** Starts a cluster whose callers and peers use TLS. */
  static TestCluster startWithTls(int entryCount, int engineCount, int serviceCount)
      throws IOException {
    return startWith(entryCount, engineCount, serviceCount, true);
  }

  private static TestCluster startWith(
      int entryCount, int engineCount, int serviceCount, boolean tls) throws IOException {
    TestCluster cluster = new TestCluster(Files.createTempDirectory("oatlug-test"));
    try {
      if (tls) {
        cluster.certificate = Optional.of(TestCertificate.create(cluster.directory));
      }
      cluster.startAll(entryCount, engineCount, serviceCount);
      return cluster;
    } catch (IOException | RuntimeException | Error e) {
      cluster.close();
      throw e;
    }
  }

  private void startAll(int entryCount, int engineCount, int serviceCount) throws IOException {
    startStandins(engineCount, serviceCount);
    listInstances(entryCount);
    for (int index = 0; index < entryCount; index++) {
      startEntry(index);
    }
    publishDeployment();
    for (int index = 0; index < entryCount; index++) {
      awaitReady(index);
    }
  }

  private void startStandins(int engineCount, int serviceCount) throws IOException {
    for (int index = 0; index < engineCount; index++) {
      enginePorts.add(Ports.free());
    }
    for (int index = 0; index < serviceCount; index++) {
      servicePorts.add(Ports.free());
    }
    standin("platform", List.of(platformPort));
    standin("rating", List.of(ratingPort));
    standin("engine", enginePorts);
    standin("service", servicePorts);
    Await.until("the platform is up", () -> Http.get(platformPort, "/instances").status() == 200);
    for (int port : enginePorts) {
      Await.until("the engine is up", () -> Http.get(port, "/load").status() == 200);
    }
    for (int port : servicePorts) {
      Await.until("the service is up", () -> Http.get(port, "/load").status() == 200);
    }
  }

  private void standin(String kind, List<Integer> ports) throws IOException {
    String list = String.join(",", ports.stream().map(String::valueOf).toList());
    standins.add(
        java(
            "org.oatlug.standin.Standin",
            kind,
            "--kind",
            kind,
            "--ports",
            list,
            "--decode-millis",
            "10"));
  }

  private void listInstances(int count) throws IOException {
    ArrayNode list = Json.STRICT.createArrayNode();
    for (int index = 0; index < count; index++) {
      entryPorts.add(new int[] {Ports.free(), Ports.free(), Ports.free()});
      advertisedPorts.add(Ports.free());
      TcpRelay relay = TcpRelay.to(vertx, addressOf(index), entryPorts.get(index)[2]);
      relay
          .listen(HOST, advertisedPorts.get(index))
          .toCompletionStage()
          .toCompletableFuture()
          .join();
      peerRelays.put(index, relay);
      ObjectNode node = list.addObject();
      node.put("name", nameOf(index)).put("zone", zoneOf(index)).put("rack", "rack-" + index);
      node.put("host", HOST).put("peerPort", advertisedPorts.get(index)).put("leaving", false);
    }
    for (String zone : ZONES) {
      TcpRelay relay = TcpRelay.to(vertx, HOST, platformPort);
      platformPorts.put(zone, Ports.free());
      relay.listen(HOST, platformPorts.get(zone)).toCompletionStage().toCompletableFuture().join();
      platformRelays.put(zone, relay);
    }
    Http.put(platformPort, "/instances", list.toString());
  }

  static String zoneOf(int index) {
    return ZONES[index % ZONES.length];
  }

  static String nameOf(int index) {
    return "entry-" + index;
  }

  /** Returns the loopback address of an instance, from which the relays derive its zone. */
  private static String addressOf(int index) {
    return "127.0." + (index % ZONES.length + 1) + "." + (index + 1);
  }

  /** Starts or restarts an instance. */
  void startEntry(int index) throws IOException {
    int[] ports = entryPorts.get(index);
    ObjectNode settings = Json.STRICT.createObjectNode();
    settings.put("name", nameOf(index)).put("zone", zoneOf(index)).put("rack", "rack-" + index);
    addTls(settings.putObject("callers").put("host", HOST).put("port", ports[0]));
    settings.putObject("operators").put("host", HOST).put("port", ports[1]);
    ObjectNode peers = settings.putObject("peers");
    peers.put("host", addressOf(index)).put("port", ports[2]).put("key", "a-key-shared-by-peers");
    peers.putObject("advertised").put("host", HOST).put("port", advertisedPorts.get(index));
    addTls(peers);
    ArrayNode seeds = peers.putArray("seeds");
    for (int peer = 0; peer < advertisedPorts.size(); peer++) {
      ObjectNode seed = seeds.addObject();
      seed.put("name", nameOf(peer)).put("zone", zoneOf(peer)).put("rack", "rack-" + peer);
      seed.put("host", HOST).put("peerPort", advertisedPorts.get(peer)).put("leaving", false);
    }
    settings.putObject("platform").put("host", HOST).put("port", platformPorts.get(zoneOf(index)));
    settings.putObject("rating").put("host", HOST).put("port", ratingPort);
    ObjectNode sessions = settings.putObject("sessions");
    sessions.put("signing", "k1").putObject("keys").put("k1", "a-key-that-signs-sessions");
    ObjectNode ledger = settings.putObject("ledger");
    ledger.put("shards", 3).put("writesPerSecond", 60).put("retentionHours", 24);
    ObjectNode limits = settings.putObject("limits");
    limits.put("bodyBytes", 65536).put("openRequests", 500).put("firstByteMillis", 4000);
    limits.put("betweenBytesMillis", 2000).put("freshnessMillis", 3000).put("drainMillis", 300);
    Path file = directory.resolve(nameOf(index) + ".json");
    Files.writeString(file, settings.toPrettyString());
    entries.put(
        index, java("org.oatlug.entry.Oatlugd", nameOf(index), "--settings", file.toString()));
  }

  void awaitReady(int index) {
    Await.until(
        nameOf(index) + " is ready",
        () -> Http.get(operatorPort(index), "/readyz").status() == 200);
  }

  private Process java(String main, String name, String... arguments) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(System.getProperty("java.home") + File.separator + "bin" + File.separator + "java");
    command.addAll(List.of("-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp"));
    command.add(System.getProperty("java.class.path"));
    command.add(main);
    command.addAll(Arrays.asList(arguments));
    File log = directory.resolve(name + ".log").toFile();
    return new ProcessBuilder(command)
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
        .start();
  }

  private void publishDeployment() throws IOException {
    ObjectNode file = Json.STRICT.createObjectNode();
    ArrayNode objects = file.putArray("objects");
    object(objects, "model", "small").put("description", "cheap");
    object(objects, "model", "large").put("description", "strong");
    for (String version : new String[] {"small-v1", "large-v1"}) {
      ObjectNode spec = object(objects, "version", version);
      spec.put("model", version.substring(0, version.indexOf('-'))).put("state", "current");
      spec.put("costPerThousandTokens", 1000);
    }
    List<String> candidates = new ArrayList<>(List.of("small-v2", "small-w", "small-c"));
    for (int number = 0; number < TEST_VERSIONS; number++) {
      candidates.add("small-t" + number);
    }
    for (String name : candidates) {
      ObjectNode candidate = object(objects, "version", name);
      candidate.put("model", "small").put("state", "candidate").put("costPerThousandTokens", 1000);
    }
    ObjectNode cascade = object(objects, "cascade", "both");
    cascade.put("safeStage", 0).put("qualityTarget", 0.9).putArray("stages").add("small");
    cascade.withArray("stages").add("large");
    object(objects, "policy", "all").put("program", "true");
    object(objects, "policy", "small-only").put("program", "model == 'small'");
    workspace(objects, WORKSPACE, KEY, "all");
    workspace(objects, "narrow", "key-of-the-narrow", "small-only");
    ArrayNode routes = object(objects, "service", "parts").putArray("routes");
    routes.addObject().put("method", "GET").put("prefix", "/stock").put("repeatable", true);
    routes.addObject().put("method", "POST").put("prefix", "/orders").put("repeatable", false);
    for (int index = 0; index < enginePorts.size(); index++) {
      ObjectNode spec = upstream(objects, "engine-" + index, "engine", enginePorts.get(index));
      spec.put("zone", zoneOf(index)).putArray("serves").add("small-v1").add("large-v1");
      candidates.forEach(spec.withArray("serves")::add);
    }
    for (int index = 0; index < servicePorts.size(); index++) {
      ObjectNode spec = upstream(objects, "parts-" + index, "service", servicePorts.get(index));
      spec.put("zone", zoneOf(index)).putArray("serves").add("parts");
    }
    Path path = directory.resolve("objects.json");
    Files.writeString(path, file.toString());
    ExitCode code = oatlug("apply", "-f", path.toString());
    if (code != ExitCode.OK) {
      throw new IOException(lastOutput);
    }
  }

  private static ObjectNode object(ArrayNode objects, String kind, String name) {
    ObjectNode object = objects.addObject();
    object.put("kind", kind).put("name", name);
    return object.putObject("spec");
  }

  private static void workspace(ArrayNode objects, String name, String key, String policy) {
    ObjectNode spec = object(objects, "workspace", name);
    spec.put("policy", policy).put("requestsPerSecond", 2000).put("priority", 5);
    spec.putArray("keyHashes").add(Hashes.sha256(key));
  }

  private static ObjectNode upstream(ArrayNode objects, String name, String kind, int port) {
    ObjectNode spec = object(objects, "upstream", name);
    spec.put("kind", kind).put("host", HOST).put("port", port).put("slots", 8);
    return spec.put("trustedRefusals", true).put("leaving", false);
  }

  /** Runs an oatlug command in this process and returns its exit code. */
  ExitCode oatlug(String... arguments) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    PrintStream output = new PrintStream(bytes, true, StandardCharsets.UTF_8);
    List<String> commandLine = new ArrayList<>(List.of(arguments));
    commandLine.addAll(List.of("--platform", HOST + ":" + platformPort));
    commandLine.addAll(List.of("--instance", HOST + ":" + operatorPort(0)));
    ExitCode code = Oatlug.run(commandLine.toArray(new String[0]), output, output);
    lastOutput = bytes.toString(StandardCharsets.UTF_8);
    return code;
  }

  private String lastOutput = "";
  private Optional<TestCertificate> certificate = Optional.empty();

  TestCertificate certificate() {
    return certificate.orElseThrow();
  }

  private void addTls(ObjectNode listener) {
    if (certificate.isPresent()) {
      String trusted = certificate().certificate().toString();
      ObjectNode tls = listener.putObject("tls").put("certificate", trusted);
      tls.put("key", certificate().key().toString()).put("trust", trusted);
    }
  }

  String lastOutput() {
    return lastOutput;
  }

  int callerPort(int index) {
    return entryPorts.get(index)[0];
  }

  int operatorPort(int index) {
    return entryPorts.get(index)[1];
  }

  int peerPort(int index) {
    return advertisedPorts.get(index);
  }

  Process entry(int index) {
    return entries.get(index);
  }

  /** Returns the relay between the zone of an instance and the platform. */
  TcpRelay platformRelay(int index) {
    return platformRelays.get(zoneOf(index));
  }

  /** Isolates the zone of an instance from the instances of other zones, or reconnects it. */
  void setZoneIsolated(int index, boolean cut) {
    int zone = index % ZONES.length;
    for (Map.Entry<Integer, TcpRelay> relay : peerRelays.entrySet()) {
      boolean sameZone = relay.getKey() % ZONES.length == zone;
      if (sameZone) {
        relay.getValue().setMode(cut ? TcpRelay.Mode.CUT : TcpRelay.Mode.PASS);
      } else {
        relay.getValue().blockSource(cut ? "127.0." + (zone + 1) + "." : "");
      }
    }
  }

  /** Sends a signal to an instance. */
  void signal(int index, String signal) throws IOException {
    String pid = Long.toString(entries.get(index).pid());
    try {
      new ProcessBuilder("kill", "-" + signal, pid).start().waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  void kill(int index) {
    entries.get(index).destroyForcibly().onExit().join();
  }

  /** Sets the faults that a stand-in injects. */
  void setFaults(int port, String json) throws IOException {
    Http.put(port, "/faults", json);
  }

  /** Returns the number of runs of each idempotency key at all services together. */
  Map<String, Integer> runs() throws IOException {
    Map<String, Integer> runs = new TreeMap<>();
    for (int port : servicePorts) {
      for (Map.Entry<String, JsonNode> run : Http.get(port, "/runs").json().properties()) {
        runs.merge(run.getKey(), run.getValue().asInt(), Integer::sum);
      }
    }
    return runs;
  }

  /** Returns the request records of all engines. */
  List<JsonNode> records() throws IOException {
    List<JsonNode> records = new ArrayList<>();
    for (int port : enginePorts) {
      Http.get(port, "/records").json().forEach(records::add);
    }
    return records;
  }

  /** Returns all bills in the ledger. */
  List<JsonNode> bills() throws IOException {
    oatlug("bills", "--output", "json");
    List<JsonNode> bills = new ArrayList<>();
    Json.STRICT.readTree(lastOutput).forEach(bills::add);
    return bills;
  }

  HttpRequest.Builder orderRequest(int index, String key) {
    return Http.to(callerPort(index), "/v1/services/parts/orders")
        .header("Authorization", "Bearer " + KEY)
        .header("Idempotency-Key", key)
        .POST(HttpRequest.BodyPublishers.ofString("{\"part\":\"cleat\"}"));
  }

  HttpRequest.Builder chatRequest(int index, String model, boolean stream, int tokens) {
    String body =
        "{\"model\":\""
            + model
            + "\",\"stream\":"
            + stream
            + ",\"max_tokens\":"
            + tokens
            + ",\"messages\":[{\"role\":\"user\",\"content\":\"which cleat\"}]}";
    return Http.to(callerPort(index), "/v1/chat/completions")
        .header("Authorization", "Bearer " + KEY)
        .POST(HttpRequest.BodyPublishers.ofString(body));
  }

  @Override
  public void close() throws IOException {
    List<Process> processes = new ArrayList<>(standins);
    processes.addAll(entries.values());
    processes.forEach(Process::destroyForcibly);
    for (Process process : processes) {
      try {
        process.waitFor(10, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }
}
