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
import org.oatlug.internal.gather.GatherFleet.Instance;
import org.oatlug.internal.limit.AdvertisedLimit;
import org.oatlug.internal.limit.RankedSenders;
import org.oatlug.internal.limit.SharedRateLimit;
import org.oatlug.internal.limit.SharedRateLimit.Target;

/**
 * An upstream that advertises a limit, and instances that all send to it as fast as they may, in
 * virtual time. Used from one thread.
 */
final class LimitScene {
  private static final String UPSTREAM = "i-1@1";
  private static final Duration ANSWER = Duration.ofMillis(30);
  private static final Duration TICK = Duration.ofMillis(100);

  /** The rule counts the requests of an instance from so long after its first answer. */
  private static final Duration HEARD_FOR = Duration.ofMillis(500);

  private static final Duration SPAN = Duration.ofSeconds(4);
  private static final Duration MEETING = Duration.ofSeconds(6);

  private final GatherFleet fleet;
  private final Duration pause;
  private final Map<String, Instant> heardAt = new HashMap<>();
  private final Deque<Instant> counted = new ArrayDeque<>();
  private final List<Instant> sent = new ArrayList<>();
  private OptionalDouble limit = OptionalDouble.empty();
  private Predicate<Instance> hasRequests = unused -> true;
  private int worst;

  /** Makes instances that know each other and send at least so many milliseconds apart. */
  LimitScene(GatherFleet fleet, int pauseMillis) {
    this.fleet = fleet;
    this.pause = Duration.ofMillis(pauseMillis);
    fleet.instances().forEach(instance -> new Sender(instance).start());
    fleet.run(MEETING);
  }

  /** An instance that sends whenever it may. */
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
      fleet.after(pause, this::send);
      if (!hasRequests.test(instance)) {
        return;
      }
      Instant now = fleet.clock().instant();
      Optional<AdvertisedLimit> known = instance.limits.find(UPSTREAM);
      if (known.isPresent()) {
        Target target = Target.advertised(UPSTREAM, "zone-0", known.get());
        if (!rates.allows(target, now)) {
          return;
        }
        rates.acquire(target).written(now);
      }
      note(instance.name(), now);
      fleet.after(ANSWER, () -> answered(now));
    }

    private void answered(Instant written) {
      if (limit.isPresent()) {
        heardAt.putIfAbsent(instance.name(), fleet.clock().instant());
        instance.limits.advertised(UPSTREAM, limit.getAsDouble());
      } else {
        instance.limits.notAdvertised(UPSTREAM, written);
      }
    }
  }

  private void note(String name, Instant now) {
    sent.add(now);
    Instant heard = heardAt.get(name);
    if (heard == null || now.isBefore(heard.plus(HEARD_FOR))) {
      return;
    }
    counted.add(now);
    while (!counted.peek().isAfter(now.minus(SPAN))) {
      counted.remove();
    }
    worst = Math.max(worst, counted.size());
  }

  /** Lets the upstream advertise a limit from now on, or none. */
  void advertise(OptionalDouble newLimit) {
    limit = newLimit;
  }

  /** Lets only some instances have requests to send. */
  void sendOnlyFrom(Predicate<Instance> instances) {
    hasRequests = instances;
  }

  /** Lets the time pass. */
  void run(Duration time) {
    fleet.run(time);
  }

  /** Returns the most requests in any span of instances that had heard a limit. */
  int worst() {
    return worst;
  }

  /** Returns how many requests the upstream got of late. */
  long sentLast(Duration span) {
    Instant from = fleet.clock().instant().minus(span);
    return sent.stream().filter(at -> at.isAfter(from)).count();
  }

  /** Returns how many instances take the upstream for limited. */
  long limited() {
    return fleet.instances().stream()
        .filter(instance -> instance.limits.of(UPSTREAM).isPresent())
        .count();
  }
}
