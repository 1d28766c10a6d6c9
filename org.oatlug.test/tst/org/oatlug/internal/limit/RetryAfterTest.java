// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests parsing of the header {@code Retry-After} of a refusal. */
public class RetryAfterTest {
  @DataProvider
  Object[][] delays() {
    return new Object[][] {
      {"0", Duration.ZERO},
      {"1", Duration.ofSeconds(1)},
      {"2.25", Duration.ofMillis(2250)},
      {"-5", Duration.ZERO},
      {"1000000", Duration.ofMinutes(2)},
      {"1e400", Duration.ofSeconds(1)},
      {"NaN", Duration.ofSeconds(1)},
      {"", Duration.ofSeconds(1)},
      {"Thu, 03 Dec 2026 07:00:00 GMT", Duration.ofSeconds(1)},
      {"9".repeat(400), Duration.ofSeconds(1)}
    };
  }

  @Test(dataProvider = "delays")
  public void testDelayIsBounded(String text, Duration expected) {
    assertEquals(RetryAfter.of(text), expected);
  }
}
