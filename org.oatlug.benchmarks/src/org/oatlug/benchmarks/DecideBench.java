// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.benchmarks;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.oatlug.api.ObjectKey;
import org.oatlug.errors.PolicyInvalidException;
import org.oatlug.internal.cascade.ConfidentStage;
import org.oatlug.internal.config.PolicyProgram;
import org.oatlug.internal.limit.CapacityRule;
import org.oatlug.internal.routing.PredictedCost;
import org.oatlug.internal.routing.RouteRequest;
import org.oatlug.internal.routing.Router;
import org.oatlug.internal.routing.RoutingDecision;
import org.oatlug.internal.table.Freshness;
import org.oatlug.internal.table.Tables;
import org.oatlug.internal.util.Json;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;

/** Measures the time and allocation of a routing decision and of a policy evaluation with JMH. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class DecideBench {
  private static final int VERSIONS = 22;

  /** The number of upstreams that serve the version. */
  @Param({"10", "100", "400"})
  public int upstreams;

  private final Tables tables = Tables.create(Freshness.withBound(Duration.ofSeconds(10)));
  private final Random random = new Random(1);
  private final Instant now = Instant.parse("2026-12-02T00:00:00Z");
  private Router router;
  private RouteRequest request;
  private PolicyProgram program;
  private PolicyProgram.Subject subject;
  private long lastRevision;

  /** Runs the benchmarks. */
  public static void main(String[] arguments) throws RunnerException {
    new Runner(
            new OptionsBuilder()
                .include(DecideBench.class.getSimpleName())
                .forks(1)
                .warmupIterations(3)
                .warmupTime(TimeValue.seconds(1))
                .measurementIterations(5)
                .measurementTime(TimeValue.seconds(1))
                .addProfiler(GCProfiler.class)
                .build())
        .run();
  }

  /** Publishes the objects and creates the router, the request and the policy. */
  @Setup
  public void publish() throws PolicyInvalidException {
    publish("model", "m", object().put("description", "m"));
    for (int number = 0; number < VERSIONS; number++) {
      ObjectNode spec = object().put("model", "m").put("costPerThousandTokens", 1);
      publish("version", "v" + number, spec.put("state", number == 0 ? "current" : "retiring"));
    }
    String text = "model in ['m', 'n'] && priority > 2 && !version.startsWith('x')";
    publish("policy", "p", object().put("program", text));
    ObjectNode workspace = object().put("policy", "p").put("requestsPerSecond", 10);
    workspace.put("priority", 5).putArray("keyHashes").add("x");
    publish("workspace", "w", workspace);
    for (int number = 0; number < upstreams; number++) {
      ObjectNode spec = object().put("kind", "engine").put("host", "127.0.0.1").put("port", 1);
      spec.put("zone", "hall-a").put("slots", 8).put("trustedRefusals", true);
      spec.put("leaving", false).putArray("serves").add("v0");
      publish("upstream", "engine-" + number, spec);
    }
    router =
        Router.create(
            "hall-a",
            ConfidentStage.create(),
            PredictedCost.create(),
            CapacityRule.slotsAndShortQueue(),
            random);
    request = new RouteRequest("w", "m", "t", Map.of(), 300, 7, 0, Set.of());
    program = PolicyProgram.compile("p", text);
    subject = new PolicyProgram.Subject("w", "m", "v0", "t", 5);
  }

  private void publish(String kind, String name, ObjectNode spec) {
    ObjectKey key = ObjectKey.valueOf(kind, name);
    tables.catalogue().merge(StoredObject.of(key, StoreRevision.ofNumber(++lastRevision), spec));
  }

  private static ObjectNode object() {
    return Json.STRICT.createObjectNode();
  }

  /** Routes a request. */
  @Benchmark
  public RoutingDecision decide() {
    return router.decide(request, tables, now);
  }

  /** Evaluates a policy. */
  @Benchmark
  public boolean policy() {
    return program.allows(subject);
  }
}
