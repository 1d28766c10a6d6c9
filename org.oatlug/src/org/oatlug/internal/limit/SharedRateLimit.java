// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.function.IntFunction;
import org.oatlug.internal.util.BoundedMap;

/**
 * Limits the rate of requests that all instances together send to an upstream.
 *
 * <p>Load pattern: upstreams restart together with cold caches and appear to be the best choice, or
 * an overloaded upstream advertises the rate that it accepts. If each instance applied the limit
 * independently, the total rate would be the limit times the number of instances. Therefore each
 * upstream is assigned a few senders, see {@link SenderSelection}, each of which may use a part of
 * the rate; other instances skip the upstream. After a membership change two sets of senders may be
 * active for a moment, because instances do not see the change at the same time, so the number of
 * senders stays below what the limit allows.
 *
 * <p>Invariant: in any window this instance writes at most the requests of its share, counted by
 * the time of writing. Memory is bounded. The clock is passed in. Used from one event loop.
 */
public final class SharedRateLimit {
  /**
   * The maximum requests that one instance sends to a cold upstream in any second. A higher value
   * would leave fewer senders, so that the loss of one matters more; with a value of one, a cold
   * zone would have twice as many senders.
   */
  static final int MAXIMUM_COLD_PER_SECOND = 2;

  /**
   * The minimum rate, in requests a second, at which a limited upstream is probed even if it
   * accepts less: only a response shows that its limit has ended.
   */
  public static final double PROBES_PER_SECOND = 0.5;

  /**
   * The time for which senders may be idle before others take over: several times the probe
   * interval.
   */
  public static final Duration ROTATION_INTERVAL = Duration.ofSeconds(10);

  /** The number of sets of senders that may be active at the same time. */
  private static final int CONCURRENT_SENDER_SETS = 2;

  private static final Duration SECOND = Duration.ofSeconds(1);

  /** The maximum burst of one instance to an upstream that advertises a limit, in requests. */
  private static final int MAXIMUM_BURST = 2;

  /** The maximum window of a share: that of a single sender at the probe rate. */
  private static final Duration MAXIMUM_WINDOW = fromSeconds(MAXIMUM_BURST / PROBES_PER_SECOND);

  /** The maximum upstreams that are limited at the same time at the design size. */
  private static final int MAXIMUM_UPSTREAMS = 2048;

  private final SenderSelection senders;
  private final Map<String, Window> windows = BoundedMap.withMaximumSize(MAXIMUM_UPSTREAMS);

  private SharedRateLimit(SenderSelection senders) {
    this.senders = senders;
  }

  /** Returns a limit under which nothing was sent yet. */
  public static SharedRateLimit create(SenderSelection senders) {
    return new SharedRateLimit(senders);
  }

  private static Duration fromSeconds(double seconds) {
    return Duration.ofNanos(Math.round(seconds * SECOND.toNanos()));
  }

  /**
   * An upstream whose rate is limited. Immutable.
   *
   * @param upstream the upstream process: the name of the upstream, with its start time if known
   * @param zone the availability zone of the upstream
   * @param senders the maximum number of senders
   * @param rotation the number of times that other instances took over from idle senders
   * @param requests the maximum requests that each sender sends in any window
   * @param window the length of the window, by the number of senders
   */
  public record Target(
      String upstream,
      String zone,
      int senders,
      long rotation,
      int requests,
      IntFunction<Duration> window) {
    /**
     * Returns the target for an upstream that has just started. Its limit applies to any second,
     * and the senders use half of it; an upstream that accepts less than one request a second
     * receives none.
     */
    public static Target cold(String upstream, String zone, double requestsPerSecond) {
      int requests = (int) Math.min(MAXIMUM_COLD_PER_SECOND, requestsPerSecond);
      int senders =
          requests == 0
              ? 0
              : (int) Math.max(1, requestsPerSecond / (CONCURRENT_SENDER_SETS * requests));
      return new Target(upstream, zone, senders, 0, requests, unused -> SECOND);
    }

    /**
     * Returns the target for an upstream that advertises a limit. Its senders use the full rate,
     * each in bursts of at most two, because requests do not arrive evenly spaced. With one sender
     * for every two requests a second, the bursts of a set of senders amount to the requests of one
     * second. If the limit was not observed for a while, its senders are idle, and others take
     * over.
     */
    public static Target advertised(String upstream, String zone, AdvertisedLimit limit) {
      double rate = Math.max(PROBES_PER_SECOND, limit.requestsPerSecond());
      long rotation = limit.ageMillis() / ROTATION_INTERVAL.toMillis();
      int senders = (int) Math.max(1, rate / CONCURRENT_SENDER_SETS);
      return new Target(
          upstream,
          zone,
          senders,
          rotation,
          MAXIMUM_BURST,
          senderCount -> fromSeconds(MAXIMUM_BURST * senderCount / rate));
    }
  }

  /** The requests written, and about to be written, to one upstream. */
  private static final class Window {
    private final Deque<Instant> written = new ArrayDeque<>();
    private int pending;

    /** Returns the number of requests written within the span before now, plus those pending. */
    long count(Duration span, Instant now) {
      while (!written.isEmpty() && written.peek().plus(MAXIMUM_WINDOW).isBefore(now)) {
        written.remove();
      }
      // Inclusive, because a request written exactly one span ago may arrive with one written now.
      Instant from = now.minus(span);
      return written.stream().filter(at -> !at.isBefore(from)).count() + pending;
    }
  }

  /** Reserves one request to a limited upstream until it is written or released. */
  public static final class Permit {
    private final Window window;
    private boolean isClosed;

    private Permit(Window window) {
      this.window = window;
    }

    /** Records that the request is written now. */
    public void written(Instant now) {
      if (!isClosed) {
        isClosed = true;
        window.pending--;
        window.written.add(now);
      }
    }

    /** Releases the reservation if nothing was written. */
    public void release() {
      if (!isClosed) {
        isClosed = true;
        window.pending--;
      }
    }
  }

  /** Returns whether this instance may send a request to the upstream at the given time. */
  public boolean allows(Target target, Instant now) {
    int senderCount =
        senders.senderCount(target.upstream(), target.zone(), target.senders(), target.rotation());
    if (senderCount == 0) {
      return false;
    }
    Window window = windows.get(target.upstream());
    long count = window == null ? 0 : window.count(target.window().apply(senderCount), now);
    return count < target.requests();
  }

  /** Reserves a request; to be called only if {@link #allows} returned true. */
  public Permit acquire(Target target) {
    Window window = windows.computeIfAbsent(target.upstream(), unused -> new Window());
    window.pending++;
    return new Permit(window);
  }
}
