// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Predicate;
import org.oatlug.internal.gather.StateExchangeFleet.Instance;
import org.oatlug.internal.limit.AdvertisedLimit;
import org.oatlug.internal.limit.RankedSenders;
import org.oatlug.internal.limit.SharedRateLimit;
import org.oatlug.internal.limit.SharedRateLimit.Target;

/**
 * Simulates in virtual time an upstream that advertises a rate limit and instances that send to it
 * as fast as they may. Used from one thread.
 */
final class LimitSimulation {
  private static final String UPSTREAM = "i-1@1";
  private static final Duration RESPONSE_TIME = Duration.ofMillis(30);
  private static final Duration TICK = Duration.ofMillis(100);

  /** The time from the first response with a limit to an instance until its requests count. */
  private static final Duration GRACE = Duration.ofMillis(500);

  private static final Duration COUNTED_SPAN = Duration.ofSeconds(4);
  private static final Duration WARM_UP = Duration.ofSeconds(6);

  private final StateExchangeFleet fleet;
  private final Duration interval;
  private final Map<String, Instant> firstLimitedAt = new HashMap<>();
  private final Deque<Instant> counted = new ArrayDeque<>();
  private final List<Instant> sent = new ArrayList<>();
  private OptionalDouble limit = OptionalDouble.empty();
  private Predicate<Instance> hasRequests = unused -> true;
  private int maximumCounted;

  /** Starts senders at all instances, each of which sends at most once per interval. */
  LimitSimulation(StateExchangeFleet fleet, int minimumIntervalMillis) {
    this.fleet = fleet;
    this.interval = Duration.ofMillis(minimumIntervalMillis);
    fleet.instances().forEach(instance -> new Sender(instance).start());
    fleet.run(WARM_UP);
  }

  /** An instance that sends whenever the limit allows. */
  private final class Sender {
    private final Instance instance;
    private final RankedSenders senders;
    private final SharedRateLimit rates;

    Sender(Instance instance) {
      this.instance = instance;
      this.senders =
          RankedSenders.create(
              instance.name(), instance.membership::live, () -> true, fleet.clock());
      this.rates = SharedRateLimit.create(senders.senders().ofLimited());
    }

    void start() {
      fleet.after(Duration.ofMillis(Math.abs(instance.name().hashCode()) % 60), this::send);
      fleet.after(Duration.ZERO, this::tick);
    }

    private void tick() {
      senders.tick();
      fleet.after(TICK, this::tick);
    }

    private void send() {
      fleet.after(interval, this::send);
      if (!hasRequests.test(instance)) {
        return;
      }
      Instant now = fleet.clock().instant();
      Optional<AdvertisedLimit> known = instance.limits.limitOf(UPSTREAM);
      if (known.isPresent()) {
        Target target = Target.advertised(UPSTREAM, "zone-0", known.get());
        if (!rates.allows(target, now)) {
          return;
        }
        rates.acquire(target).written(now);
      }
      recordSent(instance.name(), now);
      fleet.after(RESPONSE_TIME, () -> receiveResponse(now));
    }

    private void receiveResponse(Instant written) {
      if (limit.isPresent()) {
        firstLimitedAt.putIfAbsent(instance.name(), fleet.clock().instant());
        instance.limits.advertised(UPSTREAM, limit.getAsDouble());
      } else {
        instance.limits.notAdvertised(UPSTREAM, written);
      }
    }
  }

  private void recordSent(String name, Instant now) {
    sent.add(now);
    Instant limitedSince = firstLimitedAt.get(name);
    if (limitedSince == null || now.isBefore(limitedSince.plus(GRACE))) {
      return;
    }
    counted.add(now);
    while (!counted.peek().isAfter(now.minus(COUNTED_SPAN))) {
      counted.remove();
    }
    maximumCounted = Math.max(maximumCounted, counted.size());
  }

  /** Sets the limit that the upstream advertises from now on, or none. */
  void advertise(OptionalDouble newLimit) {
    limit = newLimit;
  }

  /** Restricts the requests to some instances. */
  void sendOnlyFrom(Predicate<Instance> instances) {
    hasRequests = instances;
  }

  /** Advances the virtual time. */
  void run(Duration duration) {
    fleet.run(duration);
  }

  /** Returns the maximum number of requests within 4 s of instances that were sent the limit. */
  int maximumCounted() {
    return maximumCounted;
  }

  /** Returns the number of requests sent within the last span. */
  long sentWithin(Duration span) {
    Instant from = fleet.clock().instant().minus(span);
    return sent.stream().filter(sentAt -> sentAt.isAfter(from)).count();
  }

  /** Returns the number of instances that know a limit of the upstream. */
  long limitedInstances() {
    return fleet.instances().stream()
        .filter(instance -> instance.limits.rateOf(UPSTREAM).isPresent())
        .count();
  }
}
