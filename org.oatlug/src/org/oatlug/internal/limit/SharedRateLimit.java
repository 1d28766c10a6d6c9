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
 * <p>Load pattern: upstreams restart together with cold caches and look like the best choice, or
 * one that is overloaded advertises the rate that it accepts. A limit that each instance applied
 * for itself would be exceeded by as many times as there are instances. Each upstream is assigned a
 * few senders, see {@link SenderSelection}, each of which may send a part of the rate; the others
 * skip it. Two sets of senders may be active for a moment after the membership changed, because the
 * change is not seen by all at once; so there are fewer senders than the limit leaves room for.
 *
 * <p>Invariant: in any window this instance writes at most the requests of its share, counted by
 * when they are written. Memory is bounded. Pure but for its counts; the clock is passed in. Used
 * from one event loop.
 */
public final class SharedRateLimit {
  /**
   * What one instance may send to a cold upstream in any second. More would leave fewer senders,
   * and one that is lost would matter more; with one, a cold zone is served by twice as many.
   */
  static final int MOST_COLD_PER_SECOND = 2;

  /**
   * The rate at which an upstream that accepts less is asked all the same: only an answer tells
   * that its limit has ended.
   */
  public static final double PROBES_PER_SECOND = 0.5;

  /** How long senders may have nothing to send: several times the pause between probes. */
  public static final Duration TURN = Duration.ofSeconds(10);

  /** How many sets of senders may be active at once. */
  private static final int SETS_OF_SENDERS = 2;

  private static final Duration SECOND = Duration.ofSeconds(1);

  /** The requests that one instance may send at once to an upstream that advertises a limit. */
  private static final int MOST_IN_BURST = 2;

  /** The longest window of a share, that of a single sender which probes. */
  private static final Duration LONGEST_WINDOW = secondsOf(MOST_IN_BURST / PROBES_PER_SECOND);

  /** Upstreams that are limited at once at the design size. */
  private static final int MOST_UPSTREAMS = 2048;

  private final SenderSelection senders;
  private final Map<String, Window> windows = BoundedMap.ofMost(MOST_UPSTREAMS);

  private SharedRateLimit(SenderSelection senders) {
    this.senders = senders;
  }

  /** Returns a limit under which nothing was sent yet. */
  public static SharedRateLimit create(SenderSelection senders) {
    return new SharedRateLimit(senders);
  }

  private static Duration secondsOf(double seconds) {
    return Duration.ofNanos(Math.round(seconds * SECOND.toNanos()));
  }

  /**
   * An upstream whose rate is limited. Immutable.
   *
   * @param upstream its name, with its start
   * @param zone its availability zone
   * @param senders how many instances may send at most
   * @param turn how often other senders take over because no request was sent
   * @param requests how many requests each of them may send in any window
   * @param window how long the window is, by the number of those that send
   */
  public record Target(
      String upstream,
      String zone,
      int senders,
      long turn,
      int requests,
      IntFunction<Duration> window) {
    /**
     * Returns an upstream that has just started. Its limit holds for any second, and the senders
     * use half of it; one that accepts less than a request a second gets nothing.
     */
    public static Target cold(String upstream, String zone, double requestsPerSecond) {
      int most = (int) Math.min(MOST_COLD_PER_SECOND, requestsPerSecond);
      int senders = most == 0 ? 0 : (int) Math.max(1, requestsPerSecond / (SETS_OF_SENDERS * most));
      return new Target(upstream, zone, senders, 0, most, unused -> SECOND);
    }

    /**
     * Returns an upstream that advertises a limit. Its senders use all of the rate, each in bursts
     * of two at most, because requests do not come evenly spaced. With a sender for every two
     * requests a second, the bursts of a set of senders amount to a second's requests. If nobody
     * has heard of the limit for a while, the senders have no requests, and others take over.
     */
    public static Target advertised(String upstream, String zone, AdvertisedLimit limit) {
      double rate = Math.max(PROBES_PER_SECOND, limit.requestsPerSecond());
      long turn = limit.ageMillis() / TURN.toMillis();
      int senders = (int) Math.max(1, rate / SETS_OF_SENDERS);
      return new Target(
          upstream,
          zone,
          senders,
          turn,
          MOST_IN_BURST,
          sharers -> secondsOf(MOST_IN_BURST * sharers / rate));
    }
  }

  /** What was sent to one upstream. */
  private static final class Window {
    private final Deque<Instant> written = new ArrayDeque<>();
    private int pending;

    /** Returns what counts of the span before now, and what is about to be written. */
    long taken(Duration span, Instant now) {
      while (!written.isEmpty() && written.peek().plus(LONGEST_WINDOW).isBefore(now)) {
        written.remove();
      }
      // What was written exactly a span ago may arrive together with what is written now.
      Instant from = now.minus(span);
      return written.stream().filter(at -> !at.isBefore(from)).count() + pending;
    }
  }

  /** A reservation to write one request to a limited upstream, until it is written or released. */
  public static final class Permit {
    private final Window window;
    private boolean used;

    private Permit(Window window) {
      this.window = window;
    }

    /** Records that the request is written now. */
    public void written(Instant now) {
      if (!used) {
        used = true;
        window.pending--;
        window.written.add(now);
      }
    }

    /** Releases the reservation if nothing was written. */
    public void release() {
      if (!used) {
        used = true;
        window.pending--;
      }
    }
  }

  /** Returns whether this instance may send a request to the upstream now. */
  public boolean allows(Target target, Instant now) {
    int sharers =
        senders.sharers(target.upstream(), target.zone(), target.senders(), target.turn());
    if (sharers == 0) {
      return false;
    }
    Window window = windows.get(target.upstream());
    long taken = window == null ? 0 : window.taken(target.window().apply(sharers), now);
    return taken < target.requests();
  }

  /** Reserves a request, after {@link #allows} said that it may be sent. */
  public Permit acquire(Target target) {
    Window window = windows.computeIfAbsent(target.upstream(), unused -> new Window());
    window.pending++;
    return new Permit(window);
  }
}
