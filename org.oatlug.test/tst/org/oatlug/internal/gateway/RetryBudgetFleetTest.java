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
 * All upstreams of a service fail at once, and each request is repeated for as long as the budget
 * of its instance allows. The reserve that all instances have together was split over 14, whatever
 * their number.
 */
public class RetryBudgetFleetTest {
  private static final double SHARE = 0.9;
  private static final String SERVICE = "pool";
  private static final int ATTEMPTS = 4;

  @DataProvider
  Object[][] fleets() {
    return new Object[][] {{6, 52, 990}, {61, 162, 2000}, {95, 230, 2000}, {300, 230, 2000}};
  }

  private static RetryBudgets budgets(int reserve, AtomicInteger known) {
    GatewaySettings.Bounds bounds =
        new GatewaySettings.Bounds(
            Duration.ofSeconds(8), SHARE, reserve, 0.15, Duration.ofSeconds(5), 1.5, 5);
    return RetryBudgets.within(bounds, known::get);
  }

  private static int granted(List<RetryBudgets> fleet, int requests) {
    int granted = 0;
    for (int request = 0; request < requests; request++) {
      RetryBudgets one = fleet.get(request % fleet.size());
      one.of(SERVICE).firstTry();
      for (int attempt = 1; attempt < ATTEMPTS; attempt++) {
        granted += one.of(SERVICE).takeRetry() ? 1 : 0;
      }
    }
    return granted;
  }

  private static void calm(List<RetryBudgets> fleet) {
    for (int round = 0; round < 200; round++) {
      fleet.forEach(one -> one.of(SERVICE).firstTry());
    }
  }

  private static void assertKept(int granted, int requests, int reserve) {
    int allowed = (int) (SHARE * requests) + reserve;
    assertTrue(granted <= allowed, granted + " granted, " + allowed + " are allowed");
    assertTrue(granted >= requests / 2, "only " + granted + " granted");
  }

  @Test(dataProvider = "fleets")
  public void testAllTogetherKeepToTheBudget(int instances, int reserve, int requests) {
    AtomicInteger known = new AtomicInteger(instances);
    List<RetryBudgets> fleet = new ArrayList<>();
    for (int number = 0; number < instances; number++) {
      fleet.add(budgets(reserve, known));
    }
    calm(fleet);
    assertKept(granted(fleet, requests), requests, reserve);
  }

  /** One that has just started knows nobody, and its predecessor may have spent its part. */
  @Test(dataProvider = "fleets")
  public void testInstancesThatHaveJustStartedBringNoReserveWithThem(
      int instances, int reserve, int requests) {
    AtomicInteger known = new AtomicInteger(1);
    List<RetryBudgets> fleet = new ArrayList<>();
    for (int number = 0; number < instances; number++) {
      fleet.add(budgets(reserve, known));
    }
    assertKept(granted(fleet, requests), requests, reserve);
  }

  @Test
  public void testInstancesThatJoinLeaveLessToTheOthers() {
    AtomicInteger known = new AtomicInteger(6);
    List<RetryBudgets> fleet = new ArrayList<>();
    for (int number = 0; number < 95; number++) {
      fleet.add(budgets(230, known));
    }
    calm(fleet);
    known.set(95);
    assertKept(granted(fleet, 2000), 2000, 230);
  }
}
