// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.benchmarks;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;
import org.oatlug.api.ObjectKey;
import org.oatlug.api.RefusalReason;
import org.oatlug.internal.cascade.ConfidentStage;
import org.oatlug.internal.limit.AdmissionQueue;
import org.oatlug.internal.limit.CapacityRule;
import org.oatlug.internal.limit.RetryBudget;
import org.oatlug.internal.limit.Urgency;
import org.oatlug.internal.routing.RouteRequest;
import org.oatlug.internal.routing.Router;
import org.oatlug.internal.routing.RoutingDecision;
import org.oatlug.internal.routing.UpstreamChooser;
import org.oatlug.internal.table.Freshness;
import org.oatlug.internal.table.Tables;
import org.oatlug.internal.table.UpstreamRow;
import org.oatlug.internal.util.Json;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;

/**
 * Simulates a pool of engines behind entry instances in virtual time. Each instance has its own
 * tables and runs the production routing code. Not thread-safe.
 */
final class PoolRun {
  private static final double WARM_UP_MILLIS = 30_000;
  private static final double END_MILLIS = 150_000;
  private static final int MAXIMUM_ATTEMPTS = 3;

  /** The rank of the lowest priority, 0. */
  private static final int LOWEST_RANK = 9;

  private static final String[] ZONES = {"hall-a", "hall-b", "hall-c"};
  private static final long MAXIMUM_LATENCY_MILLIS = 600_000;

  private final VirtualTime time = new VirtualTime();
  private final Workload workload;
  private final Options options;
  private final Random random;
  private final List<EngineModel> engines = new ArrayList<>();
  private final List<Entry> entries = new ArrayList<>();
  private final Result result = new Result();

  private PoolRun(Workload workload, Options options, long seed) {
    this.workload = workload;
    this.options = options;
    this.random = new Random(seed);
  }

  /**
   * The parameters of a run.
   *
   * @param load the offered load as a fraction of the pool's capacity
   * @param chooser creates the upstream chooser of each instance
   * @param capacity decides which upstreams have no capacity left
   * @param reportLagMillis the age of load reports when they arrive
   * @param fault the injected fault
   */
  record Options(
      double load,
      Supplier<UpstreamChooser> chooser,
      CapacityRule capacity,
      double reportLagMillis,
      Fault fault) {}

  /** The fault injected after the warm-up. */
  enum Fault {
    NONE,
    SLOW_ENGINE,
    FAILING_ENGINE,
    LEAVING_ENGINE,
    ZONE_CUT
  }

  /** The measurements of a run; times are in milliseconds. */
  static final class Result {
    final Histogram firstToken = new Histogram(MAXIMUM_LATENCY_MILLIS, 3);
    int measuredRequests;
    int inTime;
    int refused;
    int failed;
    int toLeaving;
  }

  private record Entry(
      Tables tables, Router router, RetryBudget retries, AdmissionQueue queue, String zone) {}

  static Result run(Workload workload, Options options, long seed) {
    PoolRun run = new PoolRun(workload, options, seed);
    run.build();
    run.time.runUntil(END_MILLIS);
    return run.result;
  }

  private void build() {
    for (int index = 0; index < workload.engines(); index++) {
      engines.add(new EngineModel(time, Workload.SLOTS));
    }
    for (int index = 0; index < workload.instances(); index++) {
      Tables tables = Tables.create(Freshness.withBound(Duration.ofSeconds(10)));
      publish(tables);
      String zone = ZONES[index % ZONES.length];
      Random routerRandom = new Random(random.nextLong());
      Router router =
          Router.create(
              zone,
              ConfidentStage.create(),
              options.chooser().get(),
              options.capacity(),
              routerRandom);
      entries.add(new Entry(tables, router, RetryBudget.create(), AdmissionQueue.create(), zone));
      double offset = 1000.0 * index / workload.instances();
      Entry entry = entries.get(index);
      time.every(50, () -> entry.queue().serve(time.instant()));
      time.after(
          offset,
          () ->
              time.every(
                  Double.parseDouble(System.getProperty("period", "1000")),
                  () -> reportLoad(tables)));
    }
    time.after(WARM_UP_MILLIS, this::injectFault);
    scheduleNextArrival();
  }

  private void publish(Tables tables) {
    long version = 0;
    for (Map.Entry<ObjectKey, ObjectNode> object : objects().entrySet()) {
      tables
          .catalogue()
          .merge(
              StoredObject.of(
                  object.getKey(), StoreRevision.ofNumber(++version), object.getValue()));
    }
  }

  private Map<ObjectKey, ObjectNode> objects() {
    Map<ObjectKey, ObjectNode> objects = new java.util.TreeMap<>();
    objects.put(ObjectKey.valueOf("model", "m"), object().put("description", "m"));
    ObjectNode version = object().put("model", "m").put("state", "current");
    objects.put(ObjectKey.valueOf("version", "m-v1"), version.put("costPerThousandTokens", 1));
    objects.put(ObjectKey.valueOf("policy", "all"), object().put("program", "true"));
    for (Workload.RequestClass requestClass : workload.classes()) {
      ObjectNode workspace = object().put("policy", "all").put("requestsPerSecond", 1000);
      workspace.put("priority", requestClass.priority()).putArray("keyHashes").add("x");
      objects.put(ObjectKey.valueOf("workspace", requestClass.task()), workspace);
    }
    for (int index = 0; index < workload.engines(); index++) {
      ObjectNode upstream = object().put("kind", "engine").put("host", "127.0.0.1");
      upstream.put("port", 1).put("zone", ZONES[index % ZONES.length]).put("leaving", false);
      upstream.put("slots", Workload.SLOTS).put("trustedRefusals", true);
      upstream.putArray("serves").add("m-v1");
      objects.put(ObjectKey.valueOf("upstream", nameOf(index)), upstream);
    }
    return objects;
  }

  private static ObjectNode object() {
    return Json.STRICT.createObjectNode();
  }

  private static String nameOf(int engine) {
    return "engine-" + engine;
  }

  private void injectFault() {
    EngineModel engine = engines.get(0);
    switch (options.fault()) {
      case SLOW_ENGINE -> engine.slowFactor = 4;
      case FAILING_ENGINE -> engine.fails = true;
      case LEAVING_ENGINE -> engine.leaving = true;
      default -> {
        // ZONE_CUT takes effect when a request is created: it excludes the unreachable zones.
      }
    }
  }

  /** Reads the load of all engines now and delivers the reports after the report lag. */
  private void reportLoad(Tables tables) {
    for (int index = 0; index < engines.size(); index++) {
      EngineModel engine = engines.get(index);
      int running = engine.running();
      int waiting = engine.waiting();
      boolean leaving = engine.leaving;
      String name = nameOf(index);
      time.after(
          options.reportLagMillis(),
          () -> tables.upstreams().report(name, running, waiting, leaving));
    }
  }

  private void scheduleNextArrival() {
    double mean = 1000 / workload.ratePerSecond(options.load());
    time.after(
        -Math.log(1 - random.nextDouble()) * mean,
        () -> {
          arrive(workload.draw(random));
          scheduleNextArrival();
        });
  }

  private void arrive(Workload.Request request) {
    Entry entry = entries.get(random.nextInt(entries.size()));
    boolean isMeasured =
        time.nowMillis() > WARM_UP_MILLIS && time.nowMillis() < END_MILLIS - 20_000;
    if (isMeasured) {
      result.measuredRequests++;
    }
    entry.retries().recordTry();
    new SimulatedRequest(entry, request, isMeasured, time.nowMillis()).next();
  }

  /** A simulated request and its attempts. */
  private final class SimulatedRequest {
    private final Entry entry;
    private final Workload.Request request;
    private final boolean isMeasured;
    private final double startedAtMillis;
    private final Set<String> excludedEngines = new HashSet<>();

    SimulatedRequest(
        Entry entry, Workload.Request request, boolean isMeasured, double startedAtMillis) {
      this.entry = entry;
      this.request = request;
      this.isMeasured = isMeasured;
      this.startedAtMillis = startedAtMillis;
      if (options.fault() == Fault.ZONE_CUT && time.nowMillis() > WARM_UP_MILLIS) {
        excludeUnreachableZones();
      }
    }

    private void excludeUnreachableZones() {
      boolean isInCutZone = entry.zone().equals(ZONES[0]);
      for (int index = 0; index < engines.size(); index++) {
        boolean engineIsInCutZone = index % ZONES.length == 0;
        if (isInCutZone != engineIsInCutZone) {
          excludedEngines.add(nameOf(index));
        }
      }
    }

    void next() {
      if (!tryRoute()) {
        waitInQueue();
      }
    }

    /** Tries to reserve capacity; returns false if the request has to wait for it. */
    private boolean tryRoute() {
      RouteRequest route =
          new RouteRequest(
              request.requestClass().task(),
              "m",
              request.requestClass().task(),
              Map.of(),
              request.promptTokens(),
              request.prefix(),
              0,
              Set.copyOf(excludedEngines));
      RoutingDecision decision = entry.router().decide(route, entry.tables(), time.instant());
      if (decision.refusal().equals(Optional.of(RefusalReason.OVERLOADED))) {
        return false;
      }
      if (decision.route().isEmpty()) {
        refuse();
      } else {
        dispatch(decision.route().get().upstream());
      }
      return true;
    }

    private void waitInQueue() {
      double remainingMillis =
          startedAtMillis + request.requestClass().deadlineMillis() - time.nowMillis();
      Instant now = time.instant();
      Instant latestStart = now.plusMillis((long) (remainingMillis / 2));
      Urgency urgency =
          new Urgency(
              LOWEST_RANK - request.requestClass().priority(),
              now.plusMillis((long) remainingMillis),
              latestStart);
      AdmissionQueue.QueuedRequest queuedRequest =
          new AdmissionQueue.QueuedRequest(
              "m",
              urgency,
              latestStart,
              latestStart,
              this::tryRoute,
              this::refuse,
              wait -> refuse());
      entry.queue().enqueue(queuedRequest, now).ifPresent(rejection -> refuse());
    }

    private void refuse() {
      result.refused += isMeasured ? 1 : 0;
    }

    private void dispatch(String name) {
      EngineModel engine = engines.get(Integer.parseInt(name.substring("engine-".length())));
      UpstreamRow row = entry.tables().upstreams().row(name);
      row.reserve();
      result.toLeaving += engine.leaving ? 1 : 0;
      double sentAtMillis = time.nowMillis();
      engine.submit(
          new EngineModel.Job(
              request,
              () -> recordFirstToken(row),
              succeeded -> finishAttempt(row, name, sentAtMillis, succeeded)));
    }

    private void recordFirstToken(UpstreamRow row) {
      double timeToFirstTokenMillis = time.nowMillis() - startedAtMillis;
      row.rememberPrefix(request.prefix());
      if (isMeasured) {
        result.firstToken.recordValue(
            (long) Math.min(MAXIMUM_LATENCY_MILLIS, timeToFirstTokenMillis));
        result.inTime += timeToFirstTokenMillis <= request.requestClass().deadlineMillis() ? 1 : 0;
      }
    }

    private void finishAttempt(
        UpstreamRow row, String name, double sentAtMillis, boolean succeeded) {
      row.release();
      if (succeeded) {
        row.recordSuccess(time.instant());
        entry.queue().serve(time.instant());
        return;
      }
      row.recordFailure(time.instant());
      excludedEngines.add(name);
      boolean retries =
          excludedEngines.size() < MAXIMUM_ATTEMPTS && entry.retries().tryAcquireRetry();
      if (retries) {
        next();
      } else {
        result.failed += isMeasured ? 1 : 0;
      }
    }
  }
}
