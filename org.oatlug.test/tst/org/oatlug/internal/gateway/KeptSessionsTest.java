// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.oatlug.internal.gather.KeptSession;
import org.testng.annotations.Test;

/** Shows which sessions are told to others, how often, and how long they count there. */
public class KeptSessionsTest {
  private static final Duration PAUSE = Duration.ofSeconds(5);
  private static final String SERVICE = "pool";

  private final Instant start = Instant.parse("2026-12-02T12:00:00Z");

  private static List<KeptSession> toTell(KeptSessions kept, Instant since, Instant now) {
    return kept.toTell(SERVICE, "v2", since, session -> session < 10, now);
  }

  @Test
  public void testSessionThatWouldMoveIsToldOncePerPause() {
    KeptSessions kept = KeptSessions.withPause(PAUSE);
    kept.of(SERVICE).seen(1, "v1", start);
    kept.of(SERVICE).seen(2, "v2", start);
    kept.of(SERVICE).seen(99, "v1", start);
    List<KeptSession> first = List.of(new KeptSession(SERVICE, 1));
    assertEquals(toTell(kept, Instant.EPOCH, start), first);
    assertEquals(toTell(kept, Instant.EPOCH, start.plusMillis(100)), List.of());
    Instant later = start.plus(PAUSE);
    kept.of(SERVICE).seen(1, "v1", later);
    assertEquals(toTell(kept, start.plusMillis(100), later), first);
  }

  @Test
  public void testSessionThatIsHeardOfAgainStaysKnown() {
    KeptSessions kept = KeptSessions.withPause(PAUSE);
    Instant now = start;
    for (int pause = 0; pause < 10; pause++) {
      now = start.plus(PAUSE.multipliedBy(pause));
      kept.heard(new KeptSession(SERVICE, 1), now);
    }
    Instant asked = now.plus(PAUSE);
    assertEquals(kept.of(SERVICE).versionOf(1, asked), Optional.of(""));
  }
}
