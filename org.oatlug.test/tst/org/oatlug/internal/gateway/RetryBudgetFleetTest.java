// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.oatlug.gateway.GatewaySettings;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that all instances together stay within the retry budget when all upstreams of a service
 * fail at once and each request is retried for as long as the budget of its instance allows.
 *
 * <p>Guards against dividing the shared reserve by a fixed number of instances (14) whatever their
 * actual number.
 */
public class RetryBudgetFleetTest {
  private static final double RETRY_SHARE = 0.9;
  private static final String SERVICE = "pool";
  private static final int MAXIMUM_ATTEMPTS = 4;

  @DataProvider
  Object[][] fleets() {
    return new Object[][] {{6, 52, 990}, {61, 162, 2000}, {95, 230, 2000}, {300, 230, 2000}};
  }

  private static RetryBudgets budgets(int reserve, AtomicInteger knownInstances) {
    GatewaySettings.Bounds bounds =
        new GatewaySettings.Bounds(
            Duration.ofSeconds(8),
            RETRY_SHARE,
            reserve,
            0.15,
            Duration.ofSeconds(5),
            1.5,
            5,
            Duration.ofSeconds(2),
            Duration.ofSeconds(2));
    return RetryBudgets.within(bounds, knownInstances::get);
  }

  private static int granted(List<RetryBudgets> fleet, int requests) {
    int granted = 0;
    for (int request = 0; request < requests; request++) {
      RetryBudgets budgets = fleet.get(request % fleet.size());
      budgets.of(SERVICE).recordTry();
      for (int attempt = 1; attempt < MAXIMUM_ATTEMPTS; attempt++) {
        granted += budgets.of(SERVICE).tryAcquireRetry() ? 1 : 0;
      }
    }
    return granted;
  }

  private static void recordFirstAttempts(List<RetryBudgets> fleet) {
    for (int round = 0; round < 200; round++) {
      fleet.forEach(budgets -> budgets.of(SERVICE).recordTry());
    }
  }

  private static void assertWithinBudget(int granted, int requests, int reserve) {
    int allowed = (int) (RETRY_SHARE * requests) + reserve;
    assertTrue(granted <= allowed, granted + " granted, " + allowed + " are allowed");
    assertTrue(granted >= requests / 2, "only " + granted + " granted");
  }

  @Test(dataProvider = "fleets")
  public void testAllInstancesTogetherStayWithinTheBudget(
      int instances, int reserve, int requests) {
    AtomicInteger knownInstances = new AtomicInteger(instances);
    List<RetryBudgets> fleet = new ArrayList<>();
    for (int number = 0; number < instances; number++) {
      fleet.add(budgets(reserve, knownInstances));
    }
    recordFirstAttempts(fleet);
    assertWithinBudget(granted(fleet, requests), requests, reserve);
  }

  /** A new instance knows no other instances, and its predecessor may have spent its part. */
  @Test(dataProvider = "fleets")
  public void testNewInstancesAddNoReserve(int instances, int reserve, int requests) {
    AtomicInteger knownInstances = new AtomicInteger(1);
    List<RetryBudgets> fleet = new ArrayList<>();
    for (int number = 0; number < instances; number++) {
      fleet.add(budgets(reserve, knownInstances));
    }
    assertWithinBudget(granted(fleet, requests), requests, reserve);
  }

  @Test
  public void testJoiningInstancesReduceThePartsOfTheOthers() {
    AtomicInteger knownInstances = new AtomicInteger(6);
    List<RetryBudgets> fleet = new ArrayList<>();
    for (int number = 0; number < 95; number++) {
      fleet.add(budgets(230, knownInstances));
    }
    recordFirstAttempts(fleet);
    knownInstances.set(95);
    assertWithinBudget(granted(fleet, 2000), 2000, 230);
  }
}
