// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.benchmarks;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
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
 * One run of a pool of engines before entry instances, each with its own tables and the real
 * decision code, in virtual time. Used from one thread.
 */
final class PoolRun {
  private static final double WARM_UP_MILLIS = 30_000;
  private static final double END_MILLIS = 150_000;
  private static final int MAXIMUM_TRIES = 3;
  private static final String[] ZONES = {"hall-a", "hall-b", "hall-c"};
  private static final long LONGEST_MILLIS = 600_000;

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
   * What is varied.
   *
   * @param load the share of the pool's capacity that is asked for
   * @param chooser makes the chooser of each instance
   * @param capacity decides which upstreams have no capacity
   * @param reportLagMillis how old load reports are when they arrive
   * @param fault what goes wrong
   */
  record Options(
      double load,
      Supplier<UpstreamChooser> chooser,
      CapacityRule capacity,
      double reportLagMillis,
      Fault fault) {}

  /** What goes wrong after the warm-up. */
  enum Fault {
    NONE,
    SLOW_ENGINE,
    FAILING_ENGINE,
    LEAVING_ENGINE,
    ZONE_CUT
  }

  /** What a run measured; times are in milliseconds. */
  static final class Result {
    final Histogram firstToken = new Histogram(LONGEST_MILLIS, 3);
    int asked;
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
      Random source = new Random(random.nextLong());
      Router router =
          Router.create(
              zone, ConfidentStage.create(), options.chooser().get(), options.capacity(), source);
      entries.add(new Entry(tables, router, RetryBudget.create(), AdmissionQueue.create(), zone));
      double offset = 1000.0 * index / workload.instances();
      Entry entry = entries.get(index);
      time.every(50, () -> entry.queue().serve(time.instant()));
      time.after(
          offset,
          () ->
              time.every(
                  Double.parseDouble(System.getProperty("period", "1000")),
                  () -> readLoad(tables)));
    }
    time.after(WARM_UP_MILLIS, this::strike);
    arriveNext();
  }

  private void publish(Tables tables) {
    long version = 0;
    for (Map.Entry<ObjectKey, ObjectNode> one : objects().entrySet()) {
      tables
          .catalogue()
          .merge(StoredObject.of(one.getKey(), StoreRevision.ofNumber(++version), one.getValue()));
    }
  }

  private Map<ObjectKey, ObjectNode> objects() {
    Map<ObjectKey, ObjectNode> objects = new java.util.TreeMap<>();
    objects.put(ObjectKey.valueOf("model", "m"), object().put("description", "m"));
    ObjectNode version = object().put("model", "m").put("state", "current");
    objects.put(ObjectKey.valueOf("version", "m-v1"), version.put("costPerThousandTokens", 1));
    objects.put(ObjectKey.valueOf("policy", "all"), object().put("program", "true"));
    for (Workload.RequestClass one : workload.classes()) {
      ObjectNode workspace = object().put("policy", "all").put("requestsPerSecond", 1000);
      workspace.put("priority", one.priority()).putArray("keyHashes").add("x");
      objects.put(ObjectKey.valueOf("workspace", one.task()), workspace);
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

  private void strike() {
    EngineModel engine = engines.get(0);
    switch (options.fault()) {
      case SLOW_ENGINE -> engine.slowFactor = 4;
      case FAILING_ENGINE -> engine.fails = true;
      case LEAVING_ENGINE -> engine.leaving = true;
      default -> {
        // The cut of a zone shows where requests are sent.
      }
    }
  }

  private void readLoad(Tables tables) {
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

  private void arriveNext() {
    double mean = 1000 / workload.ratePerSecond(options.load());
    time.after(
        -Math.log(1 - random.nextDouble()) * mean,
        () -> {
          arrive(workload.draw(random));
          arriveNext();
        });
  }

  private void arrive(Workload.Request request) {
    Entry entry = entries.get(random.nextInt(entries.size()));
    boolean counts = time.nowMillis() > WARM_UP_MILLIS && time.nowMillis() < END_MILLIS - 20_000;
    if (counts) {
      result.asked++;
    }
    entry.retries().recordFirstAttempt();
    new Try(entry, request, counts, time.nowMillis()).next();
  }

  /** One request on its way. */
  private final class Try {
    private final Entry entry;
    private final Workload.Request request;
    private final boolean counts;
    private final double started;
    private final Set<String> failed = new HashSet<>();

    Try(Entry entry, Workload.Request request, boolean counts, double started) {
      this.entry = entry;
      this.request = request;
      this.counts = counts;
      this.started = started;
      if (options.fault() == Fault.ZONE_CUT && time.nowMillis() > WARM_UP_MILLIS) {
        excludeOtherZones();
      }
    }

    private void excludeOtherZones() {
      boolean cut = entry.zone().equals(ZONES[0]);
      for (int index = 0; index < engines.size(); index++) {
        boolean inCutZone = index % ZONES.length == 0;
        if (cut != inCutZone) {
          failed.add(nameOf(index));
        }
      }
    }

    void next() {
      if (!goesOn()) {
        waitInLine();
      }
    }

    /** Tries to reserve capacity; returns false if the request has to wait for it. */
    private boolean goesOn() {
      RouteRequest route =
          new RouteRequest(
              request.requestClass().task(),
              "m",
              request.requestClass().task(),
              Map.of(),
              request.promptTokens(),
              request.prefix(),
              0,
              Set.copyOf(failed));
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

    private void waitInLine() {
      double left = started + request.requestClass().deadlineMillis() - time.nowMillis();
      AdmissionQueue.QueuedRequest queuedRequest =
          new AdmissionQueue.QueuedRequest(
              "m",
              request.requestClass().priority(),
              time.instant().plusMillis((long) left),
              this::goesOn,
              this::refuse);
      entry.queue().enqueue(queuedRequest, time.instant()).ifPresent(wait -> refuse());
    }

    private void refuse() {
      result.refused += counts ? 1 : 0;
    }

    private void dispatch(String name) {
      EngineModel engine = engines.get(Integer.parseInt(name.substring("engine-".length())));
      UpstreamRow row = entry.tables().upstreams().row(name);
      row.reserve();
      result.toLeaving += engine.leaving ? 1 : 0;
      double sent = time.nowMillis();
      engine.submit(
          new EngineModel.Job(
              request, () -> firstToken(row), answered -> done(row, name, sent, answered)));
    }

    private void firstToken(UpstreamRow row) {
      double taken = time.nowMillis() - started;
      row.rememberPrefix(request.prefix());
      if (counts) {
        result.firstToken.recordValue((long) Math.min(LONGEST_MILLIS, taken));
        result.inTime += taken <= request.requestClass().deadlineMillis() ? 1 : 0;
      }
    }

    private void done(UpstreamRow row, String name, double sent, boolean answered) {
      row.release();
      entry.queue().recordRelease(time.instant());
      if (answered) {
        row.succeeded(time.instant());
        entry.queue().serve(time.instant());
        return;
      }
      row.failed(time.instant());
      failed.add(name);
      boolean retries = failed.size() < MAXIMUM_TRIES && entry.retries().takeRetry();
      if (retries) {
        next();
      } else {
        result.failed += counts ? 1 : 0;
      }
    }
  }
}
