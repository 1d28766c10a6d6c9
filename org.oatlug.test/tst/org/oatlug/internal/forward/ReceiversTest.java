// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests to which instances those without a path to a service forward, at several sizes. */
public class ReceiversTest {
  private static final Duration NOTICE = Duration.ofSeconds(1);

  /** The time in which silent connections between instances are replaced. */
  private static final Duration SILENT_CONNECTIONS = Duration.ofSeconds(2);

  private static final Duration SHORT = Duration.ofMillis(20);

  private static final Duration MEASURED = Duration.ofSeconds(10);

  /** A time between requests after which no statement is valid. */
  private static final Duration RARE = Duration.ofMillis(1700);

  /** A receiver may get three times the mean, as each sender knows only a sample. */
  private static final int MAXIMUM_OVER_MEAN = 3;

  /** A question costs less than a request; an instance answers fewer than it has of those. */
  private static final int MAXIMUM_QUESTIONS_PER_SECOND = 60;

  @DataProvider
  Object[][] sizes() {
    return new Object[][] {{7, 1L}, {7, 2L}, {61, 1L}, {61, 2L}, {95, 1L}, {95, 2L}};
  }

  @Test(dataProvider = "sizes")
  public void testWholeZoneForwardsEvenlyToTheOthers(int size, long seed) {
    ReceiverFleet fleet = ReceiverFleet.create(size, seed);
    fleet.loseService("hall-a", fleet.sizeOf("hall-a"));
    fleet.run(NOTICE);
    fleet.run(MEASURED);
    assertEquals(fleet.withoutReceiver, 0);
    assertEvenlySpread(fleet);
  }

  private static void assertEvenlySpread(ReceiverFleet fleet) {
    int total = fleet.requestsByReceiver.values().stream().mapToInt(Integer::intValue).sum();
    double mean = (double) total / fleet.reaching();
    for (Map.Entry<String, Integer> entry : fleet.requestsByReceiver.entrySet()) {
      assertTrue(
          entry.getValue() <= MAXIMUM_OVER_MEAN * mean, entry + " requests, the mean is " + mean);
    }
    double maximumQuestions = MAXIMUM_QUESTIONS_PER_SECOND * MEASURED.toSeconds();
    fleet.questionsByInstance.forEach(
        (name, count) -> assertTrue(count <= maximumQuestions, name + " is asked " + count));
  }

  @Test(dataProvider = "sizes")
  public void testRareRequestWaitsForNewStatements(int size, long seed) {
    ReceiverFleet fleet = ReceiverFleet.create(size, seed, RARE);
    fleet.loseService("hall-a", fleet.sizeOf("hall-a") / 2);
    fleet.run(MEASURED.multipliedBy(10));
    assertEquals(fleet.withoutReceiver, 0);
  }

  @Test(dataProvider = "sizes")
  public void testLostAnswersLeaveTheReceiversOfBefore(int size, long seed) {
    ReceiverFleet fleet = ReceiverFleet.create(size, seed);
    fleet.loseService("hall-a", fleet.sizeOf("hall-a"));
    fleet.run(NOTICE);
    fleet.loseAnswers(true);
    fleet.run(SILENT_CONNECTIONS);
    assertEquals(fleet.withoutReceiver, 0);
  }

  /**
   * Guards against requests refused as unreachable because this instance read no answer in time.
   */
  @Test(dataProvider = "sizes")
  public void testAnswersUnreadDuringOwnLagAreAskedForAgain(int size, long seed) {
    ReceiverFleet fleet = ReceiverFleet.create(size, seed);
    fleet.loseService("hall-a", fleet.sizeOf("hall-a"));
    fleet.lagFor(Duration.ofMillis(300));
    fleet.run(MEASURED);
    assertEquals(fleet.withoutReceiver, 0);
    assertTrue(!fleet.requestsByReceiver.isEmpty());
  }

  @Test(dataProvider = "sizes")
  public void testInstanceLearnedLaterIsAskedAtOnce(int size, long seed) {
    ReceiverFleet fleet = ReceiverFleet.createUnacquainted(size, seed, SHORT);
    fleet.loseService("hall-a", 1);
    fleet.run(SHORT.multipliedBy(2));
    assertTrue(fleet.withoutReceiver > 0);
    fleet.introduceAll();
    fleet.run(SHORT.multipliedBy(5));
    assertEquals(fleet.withoutReceiver, 0);
  }

  @Test(dataProvider = "sizes")
  public void testHalfZoneForwardsWithinItsZone(int size, long seed) {
    ReceiverFleet fleet = ReceiverFleet.create(size, seed);
    fleet.loseService("hall-a", fleet.sizeOf("hall-a") / 2);
    fleet.run(NOTICE);
    fleet.run(MEASURED);
    assertEquals(fleet.withoutReceiver, 0);
    fleet.requestsByReceiver.keySet().forEach(name -> assertEquals(fleet.zoneOf(name), "hall-a"));
  }

  @Test(dataProvider = "sizes")
  public void testInstancesThatLoseTheServiceLaterGetNoMoreRequests(int size, long seed) {
    ReceiverFleet fleet = ReceiverFleet.create(size, seed);
    fleet.loseService("hall-a", fleet.sizeOf("hall-a"));
    fleet.run(MEASURED);
    fleet.loseService("hall-b", fleet.sizeOf("hall-b"));
    fleet.run(NOTICE);
    fleet.run(MEASURED);
    assertEquals(fleet.withoutReceiver, 0);
    fleet.requestsByReceiver.keySet().forEach(name -> assertEquals(fleet.zoneOf(name), "hall-c"));
  }

  @Test(dataProvider = "sizes")
  public void testServiceThatAllHaveLostHasNoReceiver(int size, long seed) {
    ReceiverFleet fleet = ReceiverFleet.create(size, seed);
    for (String zone : new String[] {"hall-a", "hall-b", "hall-c"}) {
      fleet.loseService(zone, fleet.sizeOf(zone));
    }
    fleet.run(NOTICE);
    fleet.run(MEASURED);
    assertEquals(fleet.requestsByReceiver.size(), 0);
    assertTrue(fleet.withoutReceiver > 0);
  }

  @Test(dataProvider = "sizes")
  public void testInstancesThatDoNotAnswerGetNoRequests(int size, long seed) {
    ReceiverFleet fleet = ReceiverFleet.create(size, seed);
    fleet.loseService("hall-a", 1);
    fleet.stop("entry-1");
    fleet.stop("entry-2");
    fleet.run(NOTICE);
    fleet.run(MEASURED);
    assertEquals(fleet.withoutReceiver, 0);
    assertTrue(!fleet.requestsByReceiver.isEmpty());
  }
}
