// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.oatlug.test.VirtualTime;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests which crowded instances report themselves not ready.
 *
 * <p>Guards against callers that wait for connections of few instances while others have room, and
 * against a fleet whose instances all step back because all are crowded.
 */
public class NewConnectionReliefTest {
  private static final Duration TICK = Duration.ofMillis(100);

  /** The age of reports between zones at the design size. */
  private static final Duration REPORT_AGE = Duration.ofSeconds(1);

  private final VirtualTime time = new VirtualTime();

  private void hold(NewConnectionRelief relief, Duration duration, int othersCrowded) {
    for (Duration past = Duration.ZERO; past.compareTo(duration) < 0; past = past.plus(TICK)) {
      time.run(TICK);
      relief.applyReported(othersCrowded, time.instant());
      relief.update(true, 8, time.instant());
    }
  }

  @Test
  public void testReliefBeginsAfterHoldAndEnds() {
    NewConnectionRelief relief = NewConnectionRelief.create();
    hold(relief, NewConnectionRelief.MINIMUM_HOLD, 1);
    assertFalse(relief.isActive());
    assertTrue(relief.isCrowded(), "others know of it before it steps back");
    hold(relief, TICK, 1);
    assertTrue(relief.isActive());
    time.run(NewConnectionRelief.DURATION);
    relief.update(false, 8, time.instant());
    assertFalse(relief.isActive());
    assertFalse(relief.isCrowded());
  }

  @Test
  public void testInstanceStaysReadyWhileOthersAreCrowdedOrUnknown() {
    NewConnectionRelief relief = NewConnectionRelief.create();
    hold(relief, NewConnectionRelief.DURATION, 2);
    assertFalse(relief.isActive(), "three of eight");
    NewConnectionRelief partitioned = NewConnectionRelief.create();
    partitioned.applyReported(0, time.instant());
    for (int tick = 0; tick < 100; tick++) {
      time.run(TICK);
      partitioned.update(true, 8, time.instant());
    }
    assertFalse(partitioned.isActive(), "the last report is too old");
  }

  @Test
  public void testInterruptedHoldBeginsAnew() {
    NewConnectionRelief relief = NewConnectionRelief.create();
    hold(relief, NewConnectionRelief.MINIMUM_HOLD, 0);
    time.run(NewConnectionRelief.HOLD_GAP.plus(TICK));
    relief.update(false, 8, time.instant());
    assertFalse(relief.isCrowded());
    hold(relief, NewConnectionRelief.MINIMUM_HOLD, 0);
    assertFalse(relief.isActive());
  }

  /** Instances, how many become crowded within some seconds, and whether these step back. */
  @DataProvider
  public Object[][] crowds() {
    return new Object[][] {
      {7, 1, true},
      {61, 1, true},
      {61, 3, true},
      {61, 6, true},
      {95, 6, true},
      {95, 23, true},
      {7, 7, false},
      {61, 31, false},
      {61, 61, false},
      {95, 95, false},
      {6, 2, false},
      {3, 1, false},
    };
  }

  @Test(dataProvider = "crowds")
  public void testAtMostQuarterOfInstancesStepsBack(int instances, int crowded, boolean all) {
    Random random = new Random(20261204);
    List<NewConnectionRelief> fleet = new ArrayList<>();
    List<Instant> crowdedFrom = new ArrayList<>();
    for (int index = 0; index < instances; index++) {
      fleet.add(NewConnectionRelief.create());
      crowdedFrom.add(time.instant().plusMillis(random.nextInt(5000)));
    }
    int most = 0;
    for (int tick = 0; tick < 300; tick++) {
      time.run(TICK);
      int total = (int) fleet.stream().filter(NewConnectionRelief::isCrowded).count();
      for (NewConnectionRelief relief : fleet) {
        int others = total - (relief.isCrowded() ? 1 : 0);
        Instant sentAt = time.instant();
        time.after(REPORT_AGE, () -> relief.applyReported(others, sentAt.plus(REPORT_AGE)));
      }
      for (int index = 0; index < instances; index++) {
        boolean held = index < crowded && time.instant().isAfter(crowdedFrom.get(index));
        fleet.get(index).update(held, instances, time.instant());
      }
      int active = (int) fleet.stream().filter(NewConnectionRelief::isActive).count();
      most = Math.max(most, active);
    }
    assertTrue(most <= instances / NewConnectionRelief.INSTANCES_PER_CROWDED, "most " + most);
    if (all) {
      assertEquals(most, crowded);
    }
  }
}
