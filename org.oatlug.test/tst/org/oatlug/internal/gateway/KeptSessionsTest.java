// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.oatlug.internal.gather.SeenSession;
import org.testng.annotations.Test;

/** Shows which sessions are told to others, how often, and how long they count there. */
public class KeptSessionsTest {
  private static final Duration PAUSE = Duration.ofSeconds(5);
  private static final String SERVICE = "pool";

  private final Instant start = Instant.parse("2026-12-02T12:00:00Z");

  private static KeptSessions sessions() {
    return KeptSessions.withPause(PAUSE, session -> session < 10);
  }

  private static SeenSession seenNow(long session, String version) {
    return new SeenSession(SERVICE, session, version, 0);
  }

  @Test
  public void testSessionThatWouldMoveIsToldOncePerPause() {
    KeptSessions kept = sessions();
    kept.seen(SERVICE, 1, "v1", start);
    kept.seen(SERVICE, 99, "v1", start);
    assertEquals(kept.toTell(start), List.of(seenNow(1, "v1")));
    kept.seen(SERVICE, 1, "v1", start.plusMillis(50));
    assertEquals(kept.toTell(start.plusMillis(100)), List.of());
    Instant later = start.plus(PAUSE);
    kept.seen(SERVICE, 1, "v1", later);
    assertEquals(kept.toTell(later), List.of(seenNow(1, "v1")));
  }

  @Test
  public void testSessionThatMovedIsToldAtOnce() {
    KeptSessions kept = sessions();
    kept.seen(SERVICE, 1, "v1", start);
    assertEquals(kept.toTell(start), List.of(seenNow(1, "v1")));
    Instant later = start.plusMillis(300);
    kept.seen(SERVICE, 1, "v2", later);
    assertEquals(kept.toTell(later.plusMillis(40)), List.of(new SeenSession(SERVICE, 1, "v2", 40)));
  }

  @Test
  public void testSessionThatIsHeardOfAgainStaysKnown() {
    KeptSessions kept = sessions();
    Instant now = start;
    for (int pause = 0; pause < 10; pause++) {
      now = start.plus(PAUSE.multipliedBy(pause));
      kept.heard(seenNow(1, "v1"), now);
    }
    Instant asked = now.plus(PAUSE);
    assertEquals(kept.of(SERVICE).versionOf(1, asked), Optional.of("v1"));
  }

  @Test
  public void testWhatWasSeenLastCountsWhoeverSawIt() {
    KeptSessions kept = sessions();
    kept.seen(SERVICE, 1, "v1", start);
    Instant now = start.plusMillis(800);
    kept.heard(new SeenSession(SERVICE, 1, "v2", 900), now);
    assertEquals(kept.of(SERVICE).versionOf(1, now), Optional.of("v1"));
    kept.heard(new SeenSession(SERVICE, 1, "v2", 100), now);
    assertEquals(kept.of(SERVICE).versionOf(1, now), Optional.of("v2"));
  }

  /** A collector that begins hands all on, what others told of before included. */
  @Test
  public void testAllThatCountIsToldToAnotherCollector() {
    KeptSessions kept = sessions();
    kept.seen(SERVICE, 1, "v1", start);
    kept.heard(seenNow(2, "v2"), start);
    kept.seen(SERVICE, 99, "v1", start);
    assertEquals(kept.toTell(start).size(), 1);
    Instant later = start.plusMillis(20);
    assertEquals(
        Set.copyOf(kept.all(later, seen -> true)),
        Set.of(new SeenSession(SERVICE, 1, "v1", 20), new SeenSession(SERVICE, 2, "v2", 20)));
    assertEquals(
        kept.all(later, SessionVersions.Seen::here),
        List.of(new SeenSession(SERVICE, 1, "v1", 20)));
    assertEquals(kept.all(start.plus(PAUSE.multipliedBy(10)), seen -> true), List.of());
  }
}
