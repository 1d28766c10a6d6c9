// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import org.oatlug.internal.util.BoundedMap;

/**
 * Bounds what this instance sends to an upstream that is cold, so that all instances together stay
 * under what it bears.
 *
 * <p>Load pattern: upstreams come back together, empty, and look like the best places there are; in
 * the second in which that is known every instance turns to them, and they collapse. A few
 * instances may send to each of them, see {@link ColdSenders}, and each of these only a few
 * requests in any second. The few times the few is half of what the upstream bears: for a moment
 * after instances joined there may be two sets of senders, one that knows of them and one that does
 * not.
 *
 * <p>Invariant: in any second at most {@link #MOST_PER_SECOND} requests are written to a cold
 * upstream, counted by when they are written, not by when they were meant to be. Memory is bounded.
 * Pure but for its counts; the clock is passed in. Used from one event loop.
 */
public final class ColdLimit {
  /**
   * What one instance may send to a cold upstream in any second. More would leave fewer senders,
   * and one that is lost would matter more; with one, a cold zone is served by twice as many.
   */
  static final int MOST_PER_SECOND = 2;

  private static final Duration WINDOW = Duration.ofSeconds(1);

  /** How many sets of senders may be at work at once. */
  private static final int SETS_OF_SENDERS = 2;

  /** Upstreams that are cold at once at the design size. */
  private static final int MOST_UPSTREAMS = 2048;

  private final ColdSenders senders;
  private final Map<String, Window> windows = BoundedMap.ofMost(MOST_UPSTREAMS);

  private ColdLimit(ColdSenders senders) {
    this.senders = senders;
  }

  /** Returns a limit under which nothing was sent yet. */
  public static ColdLimit create(ColdSenders senders) {
    return new ColdLimit(senders);
  }

  /**
   * An upstream that is cold.
   *
   * @param upstream its name, with its start
   * @param zone its availability zone
   * @param requestsPerSecond what it bears in any second from all instances together
   */
  public record Place(String upstream, String zone, double requestsPerSecond) {
    /** Returns what one instance may send in any second. */
    int mostOfOne() {
      return (int) Math.min(MOST_PER_SECOND, requestsPerSecond);
    }

    /** Returns how many instances may send, none if it bears less than a request in a second. */
    int senders() {
      if (mostOfOne() == 0) {
        return 0;
      }
      return (int) Math.max(1, requestsPerSecond / (SETS_OF_SENDERS * mostOfOne()));
    }
  }

  /** What was sent to one upstream. */
  private static final class Window {
    private final Deque<Instant> written = new ArrayDeque<>();
    private int pending;

    int taken(Instant now) {
      // What was written exactly a second ago may arrive together with what is written now.
      while (!written.isEmpty() && written.peek().plus(WINDOW).isBefore(now)) {
        written.remove();
      }
      return written.size() + pending;
    }
  }

  /** Leave to write one request to a cold upstream; ends when it is written or given back. */
  public static final class Permit {
    private final Window window;
    private boolean used;

    private Permit(Window window) {
      this.window = window;
    }

    /** Notes that the request is written now. */
    public void written(Instant now) {
      if (!used) {
        used = true;
        window.pending--;
        window.written.add(now);
      }
    }

    /** Gives the leave back if nothing was written. */
    public void giveBack() {
      if (!used) {
        used = true;
        window.pending--;
      }
    }
  }

  /** Returns whether a request may go to the upstream now. */
  public boolean hasRoom(Place place, Instant now) {
    Window window = windows.get(place.upstream());
    int taken = window == null ? 0 : window.taken(now);
    return taken < place.mostOfOne()
        && senders.isSender(place.upstream(), place.zone(), place.senders());
  }

  /** Takes leave to write a request, after {@link #hasRoom} said that there is some. */
  public Permit take(Place place) {
    Window window = windows.computeIfAbsent(place.upstream(), unused -> new Window());
    window.pending++;
    return new Permit(window);
  }
}
