// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.oatlug.api.ObjectKey;
import org.oatlug.gateway.CallerLimits;
import org.oatlug.gateway.GatewayKinds;
import org.oatlug.gateway.GatewaySettings;
import org.oatlug.gateway.Generation;
import org.oatlug.gateway.PromptPart;
import org.oatlug.gateway.ResponseHead;
import org.oatlug.gateway.RoutingConfiguration;
import org.oatlug.gateway.ServiceDefinition;
import org.oatlug.gateway.UpstreamRecord;
import org.oatlug.internal.engine.PrefillBacklog;
import org.oatlug.internal.engine.PrefillEstimates;
import org.oatlug.internal.gather.LoadReport.PaceObservation;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.routing.ZoneReachability;
import org.oatlug.internal.util.Json;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;
import org.oatlug.test.VirtualTime;

/**
 * Simulates in virtual time engines of different pace, and instances that select among them and
 * exchange reports. A prompt is read after those that arrived before it; the events of a stream
 * take longer the more requests run. Used from one thread.
 */
final class PaceSimulation {
  static final int SLOTS = 48;
  static final double FAST = 0.55;
  static final double SLOW = 1.2;
  private static final int ENGINES = 42;
  private static final int PROMPT_TOKENS = 2400;
  private static final double TOKENS_PER_MILLI = 55;
  private static final int EVENTS = 20;
  private static final double EVENT_MILLIS = 15;
  private static final double EVENT_SLOWDOWN = 0.02;
  private static final double MOMENTARY = 2.5;
  private static final int MOMENTARY_MILLIS = 600;
  private static final int MOMENTARY_PERIOD = 4000;
  private static final Duration EXCHANGE_INTERVAL = Duration.ofMillis(500);
  private static final Duration EXCHANGE_DELAY = Duration.ofMillis(300);
  private static final long GOAL_MILLIS = 3000;

  final List<Engine> engines = new ArrayList<>();
  final List<Double> firstTokenMillis = new ArrayList<>();
  private final VirtualTime time = new VirtualTime();
  private final Instant start = time.instant();
  private final Random random;
  private final List<Instance> instances = new ArrayList<>();
  private boolean exchanging = true;

  PaceSimulation(int instanceCount, GatewaySettings.Switch state, long seed) {
    random = new Random(seed);
    for (int number = 0; number < ENGINES; number++) {
      engines.add(new Engine("i-" + number, number % 4 == 0 ? FAST : SLOW));
    }
    for (int number = 0; number < instanceCount; number++) {
      instances.add(new Instance(state));
    }
    exchange();
  }

  /** An engine that reads one prompt at a time. */
  final class Engine {
    final String name;
    final double pace;
    final List<Long> arrivals = new ArrayList<>();
    OptionalDouble falseSlowdown = OptionalDouble.empty();
    boolean reportsNoLoad;
    double runningSum;
    private final int phase = random.nextInt(MOMENTARY_PERIOD);
    private int running;
    private double readyAt;

    Engine(String name, double pace) {
      this.name = name;
      this.pace = pace;
    }

    private double duration(double at) {
      boolean slow = (at + phase) % MOMENTARY_PERIOD < MOMENTARY_MILLIS;
      return pace * (slow ? MOMENTARY : 1);
    }

    private ResponseHead.Load load() {
      double reported = falseSlowdown.orElse(duration(millis()));
      return new ResponseHead.Load(
          reportsNoLoad ? 0 : running, 0, SLOTS, OptionalDouble.of(reported));
    }

    /** Returns the time at which the prompt that arrives now has been read. */
    private double read() {
      running++;
      arrivals.add((long) millis());
      double begin = Math.max(millis(), readyAt);
      readyAt = begin + PROMPT_TOKENS / TOKENS_PER_MILLI * duration(begin);
      return readyAt;
    }
  }

  private final class Instance {
    final GatewayTables tables = GatewayTables.create(time);
    final PrefillEstimates estimates = PrefillEstimates.create();
    final PrefillBacklog backlog = PrefillBacklog.create();
    final UpstreamPacing pacing;
    final UpstreamSelection selection;

    Instance(GatewaySettings.Switch state) {
      pacing = UpstreamPacing.create(state, tables, Meters.of(new MetricRegistry()));
      ServiceDefinition.Engine engine = new ServiceDefinition.Engine(SLOTS, 400_000, 1, List.of());
      put(
          GatewayKinds.ROUTING,
          "main",
          new RoutingConfiguration(
              1,
              List.of(),
              List.of(ServiceDefinition.of("pool", 1000, Optional.of(engine))),
              CallerLimits.DEFAULT,
              Optional.empty()));
      for (Engine target : engines) {
        put(
            GatewayKinds.UPSTREAM,
            target.name,
            UpstreamRecord.of("pool", "127.0.0.1", 1, "here", "v1", SLOTS, false));
      }
      selection =
          UpstreamSelection.create(
              "here",
              tables,
              estimates,
              backlog,
              ZoneReachability.create(),
              GatewayDecisionTest.noRateLimits(tables, time),
              pacing,
              unused -> false,
              new Random(random.nextLong()));
    }

    private void put(String kind, String name, Object value) {
      tables.mergeAll(
          List.of(
              StoredObject.of(
                  ObjectKey.valueOf(kind, name),
                  StoreRevision.ofNumber(1),
                  Json.STRICT.valueToTree(value))));
    }

    void send() {
      Instant sent = time.instant();
      List<PromptPart> parts = List.of(new PromptPart(random.nextLong(), PROMPT_TOKENS));
      Generation prompt = new Generation("m", PROMPT_TOKENS, EVENTS, parts, OptionalInt.empty());
      UpstreamSelection.Criteria criteria =
          new UpstreamSelection.Criteria(
              "pool",
              Optional.empty(),
              Optional.of("m"),
              Optional.of(prompt),
              100,
              Set.of(),
              false,
              GOAL_MILLIS);
      UpstreamSelection.CostedUpstream chosen = selection.choose(criteria, sent).orElseThrow();
      final Engine engine = engineOf(chosen.name());
      final double pending = chosen.forecast().prefillMillis() / chosen.applied().forecastFactor();
      chosen.row().reserve();
      backlog.begin(chosen.name(), pending);
      double elapsed = engine.read() - millis();
      after(
          elapsed,
          () -> {
            final Instant now = time.instant();
            firstTokenMillis.add(elapsed);
            backlog.end(chosen.name(), pending);
            ResponseHead.Load load = engine.load();
            tables.upstreamTable().report(chosen.row(), load.running(), load.waiting(), false);
            pacing.recordLoad("pool", chosen.name(), load, now);
            Duration duration = Duration.between(sent, now);
            estimates.recordTimeToFirstToken(chosen.name(), "m", chosen.forecast(), duration, now);
            pacing.recordFirstToken(chosen, chosen.name(), duration, now);
            stream(chosen, engine);
          });
    }

    private void stream(UpstreamSelection.CostedUpstream chosen, Engine engine) {
      double slowdown = 1 + EVENT_SLOWDOWN * engine.running;
      double interval = EVENT_MILLIS * slowdown * engine.duration(millis());
      after(
          interval * EVENTS,
          () -> {
            engine.running--;
            chosen.row().release();
            pacing.recordEventInterval(chosen, chosen.name(), "m", interval, time.instant());
          });
    }
  }

  private Engine engineOf(String name) {
    return engines.get(Integer.parseInt(name.substring(2)));
  }

  private double millis() {
    return Duration.between(start, time.instant()).toNanos() / 1e6;
  }

  private void after(double millis, Runnable action) {
    time.after(Duration.ofNanos((long) (millis * 1e6)), action);
  }

  /** Gives each instance the sum of all reports without its own. */
  private void exchange() {
    time.after(EXCHANGE_INTERVAL, this::exchange);
    if (!exchanging) {
      return;
    }
    Map<Instance, Map<String, PaceObservation>> paces = new HashMap<>();
    Map<String, Integer> pending = new TreeMap<>();
    for (Instance instance : instances) {
      paces.put(instance, instance.pacing.observed(time.instant()));
      instance.backlog.own().forEach((name, millis) -> pending.merge(name, millis, Integer::sum));
    }
    for (Instance instance : instances) {
      Map<String, Integer> otherPending = new TreeMap<>(pending);
      instance.backlog.own().forEach((name, own) -> otherPending.merge(name, -own, Integer::sum));
      Map<String, PaceObservation> others = new TreeMap<>();
      for (Instance other : instances) {
        if (other != instance) {
          paces.get(other).forEach((name, pace) -> others.merge(name, pace, PaceSimulation::join));
        }
      }
      time.after(
          EXCHANGE_DELAY,
          () -> {
            instance.backlog.applyReported(otherPending, time.instant());
            instance.pacing.applyReported(others, time.instant());
          });
    }
  }

  private static PaceObservation join(PaceObservation left, PaceObservation right) {
    int samples = left.samples() + right.samples();
    double sum = left.samples() * Math.log(left.pace()) + right.samples() * Math.log(right.pace());
    return new PaceObservation(Math.exp(sum / samples), samples);
  }

  void stopExchange() {
    exchanging = false;
  }

  /** Sends requests at this share of the capacity for a time. */
  void load(double share, Duration duration) {
    double slowdown = 1 + (MOMENTARY - 1) * MOMENTARY_MILLIS / MOMENTARY_PERIOD;
    double capacity = engines.stream().mapToDouble(engine -> 1 / engine.pace).sum();
    double perMilli = share * capacity / slowdown * TOKENS_PER_MILLI / PROMPT_TOKENS;
    int requests = (int) (duration.toMillis() * perMilli);
    for (int request = 0; request < requests; request++) {
      Instance instance = instances.get(random.nextInt(instances.size()));
      after(request / perMilli, instance::send);
    }
    for (int millis = 0; millis < duration.toMillis(); millis += 10) {
      after(millis, () -> engines.forEach(engine -> engine.runningSum += engine.running));
    }
    time.run(duration);
  }

  void resetMeasurements() {
    firstTokenMillis.clear();
    engines.forEach(engine -> engine.runningSum = 0);
    engines.forEach(engine -> engine.arrivals.clear());
  }

  double percentile95() {
    double[] sorted = firstTokenMillis.stream().mapToDouble(Double::doubleValue).toArray();
    Arrays.sort(sorted);
    return sorted[sorted.length * 95 / 100];
  }

  /** Returns the mean of the running requests of the engines of a pace. */
  double meanRunning(double pace) {
    return engines.stream()
        .filter(engine -> engine.pace == pace)
        .mapToDouble(engine -> engine.runningSum)
        .average()
        .orElseThrow();
  }

  /** Returns the mean number of requests of the engines of a pace. */
  double meanArrivals(double pace) {
    return engines.stream()
        .filter(engine -> engine.pace == pace)
        .mapToDouble(engine -> engine.arrivals.size())
        .average()
        .orElseThrow();
  }

  String summary() {
    return String.format(
        "p95=%.0f ms, fast to slow: requests %.2f, running %.2f, highest share in 200 ms %.2f",
        percentile95(),
        meanArrivals(FAST) / meanArrivals(SLOW),
        meanRunning(FAST) / meanRunning(SLOW),
        highestShare(200));
  }

  /** Returns the most requests of any window of an engine, relative to its share by pace. */
  double highestShare(int windowMillis) {
    double capacity = engines.stream().mapToDouble(engine -> 1 / engine.pace).sum();
    int total = engines.stream().mapToInt(engine -> engine.arrivals.size()).sum();
    long first = engines.stream().mapToLong(engine -> engine.arrivals.get(0)).min().orElseThrow();
    double windows = (millis() - first) / windowMillis;
    double highest = 0;
    for (Engine engine : engines) {
      double share = total / windows / capacity / engine.pace;
      Map<Long, Integer> counts = new HashMap<>();
      engine.arrivals.forEach(at -> counts.merge(at / windowMillis, 1, Integer::sum));
      for (int count : counts.values()) {
        highest = Math.max(highest, count / share);
      }
    }
    return highest;
  }
}
