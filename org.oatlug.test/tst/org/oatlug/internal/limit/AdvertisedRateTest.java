// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests parsing of the rate that an upstream advertises. */
public class AdvertisedRateTest {
  @DataProvider
  Object[][] rates() {
    return new Object[][] {
      {"0", 0},
      {"1", 1},
      {" 2.25 ", 2.25},
      {".5", 0.5},
      {"3.", 3},
      {"-5", 0},
      {"-0.1", 0},
      {"1000000", 10_000},
      {"1e400", 1},
      {"NaN", 1},
      {"Infinity", 1},
      {"", 1},
      {"1,5", 1},
      {"2;q=1", 1},
      {"9".repeat(400), 1}
    };
  }

  @Test(dataProvider = "rates")
  public void testRateIsBounded(String text, double expected) {
    assertEquals(AdvertisedRate.parse(text), expected);
  }
}
