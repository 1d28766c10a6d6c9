// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.oatlug.internal.gather.SessionObservation;
import org.testng.annotations.Test;

/** Tests which sessions are replicated to other instances, how often, and when they expire. */
public class SessionVersionCacheTest {
  private static final Duration PAUSE = Duration.ofSeconds(5);
  private static final String SERVICE = "pool";

  private final Instant start = Instant.parse("2026-12-02T12:00:00Z");

  private static SessionVersionCache sessions() {
    return SessionVersionCache.withPause(PAUSE, session -> session < 10);
  }

  private static SessionObservation seenNow(long session, String version) {
    return new SessionObservation(SERVICE, session, version, 0);
  }

  @Test
  public void testSessionThatWouldMoveIsReplicatedOncePerPause() {
    SessionVersionCache cache = sessions();
    cache.recordLocal(SERVICE, 1, "v1", start);
    cache.recordLocal(SERVICE, 99, "v1", start);
    assertEquals(cache.drainPending(start), List.of(seenNow(1, "v1")));
    cache.recordLocal(SERVICE, 1, "v1", start.plusMillis(50));
    assertEquals(cache.drainPending(start.plusMillis(100)), List.of());
    Instant later = start.plus(PAUSE);
    cache.recordLocal(SERVICE, 1, "v1", later);
    assertEquals(cache.drainPending(later), List.of(seenNow(1, "v1")));
  }

  @Test
  public void testSessionThatMovedIsReplicatedImmediately() {
    SessionVersionCache cache = sessions();
    cache.recordLocal(SERVICE, 1, "v1", start);
    assertEquals(cache.drainPending(start), List.of(seenNow(1, "v1")));
    Instant later = start.plusMillis(300);
    cache.recordLocal(SERVICE, 1, "v2", later);
    assertEquals(
        cache.drainPending(later.plusMillis(40)),
        List.of(new SessionObservation(SERVICE, 1, "v2", 40)));
  }

  @Test
  public void testSessionThatIsReplicatedAgainStaysKnown() {
    SessionVersionCache cache = sessions();
    Instant now = start;
    for (int pause = 0; pause < 10; pause++) {
      now = start.plus(PAUSE.multipliedBy(pause));
      cache.recordRemote(seenNow(1, "v1"), now);
    }
    Instant queriedAt = now.plus(PAUSE);
    assertEquals(cache.of(SERVICE).lastVersion(1, queriedAt), Optional.of("v1"));
  }

  @Test
  public void testLatestObservationWinsWhicheverInstanceMadeIt() {
    SessionVersionCache cache = sessions();
    cache.recordLocal(SERVICE, 1, "v1", start);
    Instant now = start.plusMillis(800);
    cache.recordRemote(new SessionObservation(SERVICE, 1, "v2", 900), now);
    assertEquals(cache.of(SERVICE).lastVersion(1, now), Optional.of("v1"));
    cache.recordRemote(new SessionObservation(SERVICE, 1, "v2", 100), now);
    assertEquals(cache.of(SERVICE).lastVersion(1, now), Optional.of("v2"));
  }

  /**
   * A new collector receives the sessions that a roll-out would move, including those replicated
   * from other instances.
   */
  @Test
  public void testNewCollectorReceivesAllUnexpiredSessionsThatWouldMove() {
    SessionVersionCache cache = sessions();
    cache.recordLocal(SERVICE, 1, "v1", start);
    cache.recordRemote(seenNow(2, "v2"), start);
    cache.recordLocal(SERVICE, 99, "v1", start);
    assertEquals(cache.drainPending(start).size(), 1);
    Instant later = start.plusMillis(20);
    assertEquals(
        Set.copyOf(cache.matching(later, observation -> true)),
        Set.of(
            new SessionObservation(SERVICE, 1, "v1", 20),
            new SessionObservation(SERVICE, 2, "v2", 20)));
    assertEquals(
        cache.matching(later, SessionVersions.Observation::isLocal),
        List.of(new SessionObservation(SERVICE, 1, "v1", 20)));
    assertEquals(
        cache.matching(start.plus(PAUSE.multipliedBy(10)), observation -> true), List.of());
  }
}
