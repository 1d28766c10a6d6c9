// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.metrics;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.oatlug.api.RefusalReason;

/** Records counters and timers in a metric registry. Immutable, thread-safe. */
public final class Meters {
  private final MetricRegistry registry;

  private Meters(MetricRegistry registry) {
    this.registry = registry;
  }

  /**
   * Returns the meters of a registry. Registers the counters of all refusal reasons, so that each
   * exists from the start.
   */
  public static Meters of(MetricRegistry registry) {
    Meters meters = new Meters(registry);
    for (RefusalReason reason : RefusalReason.values()) {
      registry.counter(refusalName(reason));
    }
    return meters;
  }

  /** Increments the counter {@code name}. */
  public void count(String name) {
    registry.counter(name).inc();
  }

  /** Adds to the counter of the given name. */
  public void count(String name, long events) {
    registry.counter(name).inc(events);
  }

  /** Returns the value of the counter {@code name}. */
  public long value(String name) {
    return registry.counter(name).getCount();
  }

  /** Shows the value of a gauge, read when the metrics are; the first one of a name stays. */
  public void gauge(String name, Supplier<Long> value) {
    registry.gauge(name, () -> value::get);
  }

  /** Increments the counter of the refusal reason. */
  public void refused(RefusalReason reason) {
    registry.counter(refusalName(reason)).inc();
  }

  /** Records a duration in the timer {@code name}. */
  public void time(String name, Duration duration) {
    registry.timer(name).update(duration.toNanos(), TimeUnit.NANOSECONDS);
  }

  /** Returns the metric registry. */
  public MetricRegistry registry() {
    return registry;
  }

  private static String refusalName(RefusalReason reason) {
    return "refusal." + reason.text();
  }
}
