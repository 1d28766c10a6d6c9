// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.oatlug.internal.util.BoundedMap;

/** Tests that estimates of prefill times converge, adapt and decay within bounded memory. */
class PrefillEstimatesTest {
  private static final String SEED = "20261202";
  private static final String UPSTREAM = "i-1";
  private static final int ANSWERS_PER_OUTLIER = 10;
  private static final int PROMPT_TOKENS_RANGE = 20_000;

  private Instant now = Instant.parse("2026-12-02T12:00:00Z");

  /**
   * An engine whose response times are linear in the prompt and deviate from that by up to a tenth;
   * one in ten is an outlier.
   */
  private final class Engine {
    private final Random random;
    private double millisPerToken;
    private int answers;

    Engine(Random random, double millisPerToken) {
      this.random = random;
      this.millisPerToken = millisPerToken;
    }

    void answer(PrefillEstimates estimates, String model) {
      answers++;
      int tokens = 500 + random.nextInt(PROMPT_TOKENS_RANGE);
      double noise = 0.9 + 0.2 * random.nextDouble();
      boolean outlier = answers % ANSWERS_PER_OUTLIER == 0;
      double millis = (30 + millisPerToken * tokens) * noise * (outlier ? 8 : 1);
      FirstTokenForecast forecast =
          new FirstTokenForecast(
              0, estimates.prefillModelOf(model).millisFor(tokens), tokens, true);
      now = now.plusMillis(200);
      estimates.recordTimeToFirstToken(
          UPSTREAM, model, forecast, Duration.ofMillis(Math.round(millis)), now);
    }
  }

  private static void assertWithin(double actual, double expected, double share) {
    assertTrue(Math.abs(actual - expected) <= share * expected, actual + " instead of " + expected);
  }

  /** Any prefill time within two orders of magnitude is estimated, 0.005 to 0.5 ms per token. */
  @Property(seed = SEED)
  void testEstimateConvergesInThirtyResponses(
      @ForAll @DoubleRange(min = -2.3, max = -0.3) double exponent, @ForAll Random random) {
    PrefillEstimates estimates = PrefillEstimates.create();
    double expected = Math.pow(10, exponent);
    Engine engine = new Engine(random, expected);
    for (int answer = 0; answer < 30; answer++) {
      engine.answer(estimates, "m");
    }
    assertWithin(estimates.prefillModelOf("m").millisPerToken(), expected, 0.2);
  }

  @Property(seed = SEED)
  void testEstimateAdaptsInTenResponses(@ForAll Random random) {
    PrefillEstimates estimates = PrefillEstimates.create();
    Engine engine = new Engine(random, 0.02);
    for (int answer = 0; answer < 30; answer++) {
      engine.answer(estimates, "m");
    }
    engine.millisPerToken = 0.08;
    for (int answer = 0; answer < 10; answer++) {
      engine.answer(estimates, "m");
    }
    assertTrue(
        estimates.prefillModelOf("m").millisPerToken() > 0.05,
        "prefill model " + estimates.prefillModelOf("m"));
  }

  /** An overestimated queue must not make the engine appear infinitely fast. */
  @Example
  void testResponsesFasterThanTheWaitDoNotMakePrefillFree() {
    PrefillEstimates estimates = PrefillEstimates.create();
    for (int answer = 0; answer < 40; answer++) {
      double own = estimates.prefillModelOf("m").millisFor(1000 + answer * 100);
      FirstTokenForecast forecast = new FirstTokenForecast(3000, own, 1000 + answer * 100, true);
      estimates.recordTimeToFirstToken(UPSTREAM, "m", forecast, Duration.ofMillis(500), now);
    }
    assertTrue(
        estimates.prefillModelOf("m").millisFor(20_000) > 20,
        "prefill model " + estimates.prefillModelOf("m"));
  }

  @Example
  void testUnmeasuredModelCountsAsSlow() {
    PrefillEstimates estimates = PrefillEstimates.create();
    double unmeasured = estimates.prefillModelOf("large").millisPerToken();
    Engine fast = new Engine(new Random(1), 0.005);
    for (int answer = 0; answer < 30; answer++) {
      fast.answer(estimates, "small");
    }
    assertEquals(estimates.prefillModelOf("large").millisPerToken(), unmeasured);
    Engine slow = new Engine(new Random(1), 0.4);
    for (int answer = 0; answer < 30; answer++) {
      slow.answer(estimates, "middle");
    }
    assertEquals(estimates.prefillModelOf("large"), estimates.prefillModelOf("middle"));
    PrefillTimeModel reported = new PrefillTimeModel(10, 0.1);
    estimates.applyReported("large", reported);
    assertEquals(estimates.prefillModelOf("large"), reported);
    estimates.applyReported("small", reported);
    assertWithin(estimates.prefillModelOf("small").millisPerToken(), 0.005, 0.2);
  }

  @Example
  void testSlownessOfUpstreamDecays() {
    PrefillEstimates estimates = PrefillEstimates.create();
    FirstTokenForecast forecast = new FirstTokenForecast(0, 200, 4000, false);
    for (int answer = 0; answer < 5; answer++) {
      estimates.recordTimeToFirstToken(UPSTREAM, "m", forecast, Duration.ofMillis(1200), now);
    }
    assertTrue(estimates.slownessOf(UPSTREAM, now) > 2);
    assertTrue(estimates.slownessOf(UPSTREAM, now) <= 8.01);
    assertEquals(estimates.slownessOf("i-2", now), 1.0);
    assertTrue(estimates.slownessOf(UPSTREAM, now.plusSeconds(30)) < 1.01);
  }

  @Example
  void testMemoryIsBounded() {
    Map<Integer, Integer> map = BoundedMap.withMaximumSize(3);
    for (int key = 0; key < 100; key++) {
      map.put(key, key);
      map.get(0);
    }
    assertEquals(map.keySet(), java.util.Set.of(0, 98, 99));
    PrefillEstimates estimates = PrefillEstimates.create();
    for (int model = 0; model < 2 * PrefillEstimates.MAXIMUM_MODELS; model++) {
      estimates.applyReported("m" + model, new PrefillTimeModel(1, 1 + model));
    }
    assertEquals(
        estimates.prefillModelOf("m1").millisPerToken(),
        estimates.prefillModelOf("none").millisPerToken());
  }
}
