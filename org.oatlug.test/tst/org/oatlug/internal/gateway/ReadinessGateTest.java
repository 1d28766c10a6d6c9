// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import org.testng.annotations.Test;

/** Tests the conditions under which a starting instance begins to serve. */
public class ReadinessGateTest {
  private Instant now = Instant.parse("2026-12-02T12:00:00Z");
  private boolean configured;
  private boolean objectsRead;
  private boolean sessionsKnown;
  private boolean crashesKnown;

  private ReadinessGate gate() {
    return ReadinessGate.create(
        () -> now, () -> configured, () -> objectsRead, () -> sessionsKnown, () -> crashesKnown);
  }

  @Test
  public void testAllConditionsAreRequired() {
    final ReadinessGate gate = gate();
    objectsRead = true;
    sessionsKnown = true;
    crashesKnown = true;
    assertFalse(gate.tryOpen());
    configured = true;
    sessionsKnown = false;
    assertFalse(gate.tryOpen());
    sessionsKnown = true;
    crashesKnown = false;
    assertFalse(gate.tryOpen());
    crashesKnown = true;
    assertTrue(gate.tryOpen());
    assertFalse(gate.tryOpen(), "the gate opens only once");
    sessionsKnown = false;
    crashesKnown = false;
    assertTrue(gate.isOpen(), "the gate stays open");
  }

  /** A fleet that cannot read the orders must still serve. */
  @Test
  public void testGateOpensAfterMaximumWaitWithoutOrders() {
    ReadinessGate gate = gate();
    now = now.plusSeconds(60);
    assertFalse(gate.tryOpen(), "an instance cannot serve without a configuration");
    configured = true;
    assertFalse(gate.tryOpen());
    now = now.plusSeconds(4);
    assertTrue(gate.tryOpen());
  }
}
