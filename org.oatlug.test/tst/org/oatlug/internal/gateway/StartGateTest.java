// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import org.testng.annotations.Test;

/** Shows when an instance that starts begins to serve. */
public class StartGateTest {
  private Instant now = Instant.parse("2026-12-02T12:00:00Z");
  private boolean configured;
  private boolean ordersRead;
  private boolean sessionsKnown;

  private StartGate gate() {
    return StartGate.create(() -> now, () -> configured, () -> ordersRead, () -> sessionsKnown);
  }

  @Test
  public void testAllThreeAreNeeded() {
    final StartGate gate = gate();
    ordersRead = true;
    sessionsKnown = true;
    assertFalse(gate.opens());
    configured = true;
    sessionsKnown = false;
    assertFalse(gate.opens());
    sessionsKnown = true;
    assertTrue(gate.opens());
    assertFalse(gate.opens(), "it opens once");
    sessionsKnown = false;
    assertTrue(gate.isOpen(), "it stays open");
  }

  @Test
  public void testFleetThatCannotReadTheOrdersServesAllTheSame() {
    StartGate gate = gate();
    now = now.plusSeconds(60);
    assertFalse(gate.opens(), "nothing can be served without a configuration");
    configured = true;
    assertFalse(gate.opens());
    now = now.plusSeconds(4);
    assertTrue(gate.opens());
  }
}
