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
class EngineSpeedsTest {
  private static final String SEED = "20261202";
  private static final String UPSTREAM = "i-1";
  private static final int OUTLIER_INTERVAL = 10;
  private static final int LARGEST_PROMPT = 20_000;

  private Instant now = Instant.parse("2026-12-02T12:00:00Z");

  /** An engine whose responses deviate from its line by up to a tenth, with one outlier in ten. */
  private final class Engine {
    private final Random random;
    private double millisPerToken;
    private int answers;

    Engine(Random random, double millisPerToken) {
      this.random = random;
      this.millisPerToken = millisPerToken;
    }

    void answer(EngineSpeeds speeds, String model) {
      answers++;
      int tokens = 500 + random.nextInt(LARGEST_PROMPT);
      double noise = 0.9 + 0.2 * random.nextDouble();
      boolean outlier = answers % OUTLIER_INTERVAL == 0;
      double millis = (30 + millisPerToken * tokens) * noise * (outlier ? 8 : 1);
      HeadForecast forecast =
          new HeadForecast(0, speeds.lineOf(model).millisFor(tokens), tokens, true);
      now = now.plusMillis(200);
      speeds.answered(UPSTREAM, model, forecast, Duration.ofMillis(Math.round(millis)), now);
    }
  }

  private static void assertWithin(double actual, double expected, double share) {
    assertTrue(Math.abs(actual - expected) <= share * expected, actual + " instead of " + expected);
  }

  @Property(seed = SEED)
  void testEstimateConvergesInThirtyResponses(
      @ForAll @DoubleRange(min = -2.3, max = -0.3) double exponent, @ForAll Random random) {
    EngineSpeeds speeds = EngineSpeeds.create();
    double expected = Math.pow(10, exponent);
    Engine engine = new Engine(random, expected);
    for (int answer = 0; answer < 30; answer++) {
      engine.answer(speeds, "m");
    }
    assertWithin(speeds.lineOf("m").millisPerToken(), expected, 0.2);
  }

  @Property(seed = SEED)
  void testEstimateAdaptsInTenResponses(@ForAll Random random) {
    EngineSpeeds speeds = EngineSpeeds.create();
    Engine engine = new Engine(random, 0.02);
    for (int answer = 0; answer < 30; answer++) {
      engine.answer(speeds, "m");
    }
    engine.millisPerToken = 0.08;
    for (int answer = 0; answer < 10; answer++) {
      engine.answer(speeds, "m");
    }
    assertTrue(speeds.lineOf("m").millisPerToken() > 0.05, "line " + speeds.lineOf("m"));
  }

  /** An overestimated queue must not make the engine appear infinitely fast. */
  @Example
  void testResponsesFasterThanTheWaitDoNotMakePrefillFree() {
    EngineSpeeds speeds = EngineSpeeds.create();
    for (int answer = 0; answer < 40; answer++) {
      double own = speeds.lineOf("m").millisFor(1000 + answer * 100);
      HeadForecast forecast = new HeadForecast(3000, own, 1000 + answer * 100, true);
      speeds.answered(UPSTREAM, "m", forecast, Duration.ofMillis(500), now);
    }
    assertTrue(speeds.lineOf("m").millisFor(20_000) > 20, "line " + speeds.lineOf("m"));
  }

  @Example
  void testUnmeasuredModelCountsAsSlow() {
    EngineSpeeds speeds = EngineSpeeds.create();
    double unmeasured = speeds.lineOf("large").millisPerToken();
    Engine fast = new Engine(new Random(1), 0.005);
    for (int answer = 0; answer < 30; answer++) {
      fast.answer(speeds, "small");
    }
    assertEquals(speeds.lineOf("large").millisPerToken(), unmeasured);
    Engine slow = new Engine(new Random(1), 0.4);
    for (int answer = 0; answer < 30; answer++) {
      slow.answer(speeds, "middle");
    }
    assertEquals(speeds.lineOf("large"), speeds.lineOf("middle"));
    ReadingLine reported = new ReadingLine(10, 0.1);
    speeds.heard("large", reported);
    assertEquals(speeds.lineOf("large"), reported);
    speeds.heard("small", reported);
    assertWithin(speeds.lineOf("small").millisPerToken(), 0.005, 0.2);
  }

  @Example
  void testSlownessOfUpstreamDecays() {
    EngineSpeeds speeds = EngineSpeeds.create();
    HeadForecast forecast = new HeadForecast(0, 200, 4000, false);
    for (int answer = 0; answer < 5; answer++) {
      speeds.answered(UPSTREAM, "m", forecast, Duration.ofMillis(1200), now);
    }
    assertTrue(speeds.slownessOf(UPSTREAM, now) > 2);
    assertTrue(speeds.slownessOf(UPSTREAM, now) <= 8.01);
    assertEquals(speeds.slownessOf("i-2", now), 1.0);
    assertTrue(speeds.slownessOf(UPSTREAM, now.plusSeconds(30)) < 1.01);
  }

  @Example
  void testMemoryIsBounded() {
    Map<Integer, Integer> map = BoundedMap.ofMost(3);
    for (int key = 0; key < 100; key++) {
      map.put(key, key);
      map.get(0);
    }
    assertEquals(map.keySet(), java.util.Set.of(0, 98, 99));
    EngineSpeeds speeds = EngineSpeeds.create();
    for (int model = 0; model < 2 * EngineSpeeds.MAXIMUM_MODELS; model++) {
      speeds.heard("m" + model, new ReadingLine(1, 1 + model));
    }
    assertEquals(speeds.lineOf("m1").millisPerToken(), speeds.lineOf("none").millisPerToken());
  }
}
