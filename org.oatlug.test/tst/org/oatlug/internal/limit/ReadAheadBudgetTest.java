// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.oatlug.internal.limit.ReadAheadBudget.Terms;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against disconnecting callers that read, or those whose response needs no memory. */
public class ReadAheadBudgetTest {
  private static final long RESPONSE = ReadAheadBudget.MAXIMUM_RESPONSE_BYTES;
  private static final long TOTAL = ReadAheadBudget.DEFAULT_MAXIMUM_BYTES;

  private Instant now;
  private Terms terms;
  private ReadAheadBudget<String> budget;

  @BeforeMethod
  void setUp() {
    now = Instant.ofEpochMilli(1_000_000);
    terms = new Terms(Duration.ofSeconds(1), now.plusSeconds(20));
    budget = ReadAheadBudget.create(() -> now);
  }

  private void hold(String response, long bytes) {
    budget.hold(response, terms, bytes);
  }

  private void advance(long millis) {
    now = now.plusMillis(millis);
  }

  @Test
  public void testResponseThatHoldsItsLimitPausesUntilHalfIsRead() {
    hold("a", RESPONSE - 1);
    assertFalse(budget.mustPause("a"));
    hold("a", 1);
    assertTrue(budget.mustPause("a"));
    budget.release("a", RESPONSE / 2 - 1);
    assertFalse(budget.mayContinue("a"));
    budget.release("a", 1);
    assertTrue(budget.mayContinue("a"));
  }

  @Test
  public void testIncompleteThenLargestOfStalledResponsesIsEvicted() {
    hold("complete", RESPONSE);
    budget.markComplete("complete");
    hold("small", 10);
    hold("large", 20);
    hold("reading", RESPONSE);
    advance(2000);
    assertEquals(budget.toEvict(), Optional.empty());
    advance(1);
    budget.recordReading("reading");
    assertEquals(budget.takeNewlyStalled(), 3);
    assertEquals(budget.takeNewlyStalled(), 0);
    for (String expected : new String[] {"large", "small", "complete"}) {
      assertEquals(budget.toEvict(), Optional.of(expected));
      budget.drop(expected);
    }
    assertEquals(budget.toEvict(), Optional.empty());
    assertEquals(budget.heldBytes(), RESPONSE);
  }

  @Test
  public void testFullBudgetPausesResponsesWithUnreadBytesOnly() {
    for (int number = 0; number < TOTAL / RESPONSE; number++) {
      hold("r" + number, RESPONSE);
    }
    assertTrue(budget.isFull());
    hold("late", 1);
    assertTrue(budget.mustPause("late"));
    assertFalse(budget.mayContinue("late"));
    assertFalse(budget.mustPause("read at once"));
    budget.release("late", 1);
    assertTrue(budget.mayContinue("late"));
  }

  @Test
  public void testStalledCallerIsDisconnectedOnlyIfHalfIsUsed() {
    hold("stalled", RESPONSE);
    advance(5001);
    assertEquals(budget.toDisconnect(), Optional.empty());
    hold("others", TOTAL / 2);
    assertEquals(budget.toDisconnect(), Optional.of("stalled"));
    budget.markComplete("stalled");
    assertEquals(budget.toDisconnect(), Optional.empty());
  }

  @Test
  public void testLongGoalGivesCallerMoreTime() {
    terms = new Terms(Duration.ofSeconds(8), now.plusSeconds(60));
    hold("long goal", TOTAL);
    advance(16_000);
    assertEquals(budget.toDisconnect(), Optional.empty());
    advance(1);
    assertEquals(budget.toDisconnect(), Optional.of("long goal"));
  }

  @Test
  public void testCompleteResponseIsKeptUntilDeadlineAndLongerWhileItIsRead() {
    hold("complete", TOTAL);
    budget.markComplete("complete");
    advance(20_000);
    assertEquals(budget.toDisconnect(), Optional.empty());
    budget.release("complete", 1);
    advance(5000);
    assertEquals(budget.toDisconnect(), Optional.empty());
    advance(1);
    assertEquals(budget.toDisconnect(), Optional.of("complete"));
  }
}
