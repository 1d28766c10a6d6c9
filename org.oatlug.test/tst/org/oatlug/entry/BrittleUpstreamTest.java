// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.oatlug.adapter.standin.SampleObjects;
import org.oatlug.adapter.standin.UpstreamStandin;
import org.oatlug.test.Await;
import org.oatlug.test.Http;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/** Guards against upstreams that say that they are brittle and fall over by rejections. */
public class BrittleUpstreamTest {
  private static final int INSTANCES = 3;
  private static final int REJECTIONS_PER_SECOND = 5;
  private static final int ROUNDS = 6;
  private static final int REQUESTS_PER_ROUND = 25;
  private static final int RESPONSE_MILLIS = 100;

  private GatewayFleet fleet;

  @AfterMethod(alwaysRun = true)
  void stop() {
    if (fleet != null) {
      fleet.close();
    }
  }

  private void makeBrittle() {
    for (UpstreamStandin upstream : fleet.upstreams.values()) {
      upstream.setResponseMillis(RESPONSE_MILLIS);
      upstream.setBrittle(SampleObjects.SLOTS, REJECTIONS_PER_SECOND);
    }
  }

  /** Lets every instance hear from the upstreams, and waits until it sends to them. */
  private void awaitServedByAll() {
    for (int instance = 0; instance < INSTANCES; instance++) {
      int index = instance;
      for (int number = 0; number < 2 * fleet.upstreams.size(); number++) {
        Await.until(
            "a request is served",
            () -> Http.send(fleet.request(index, SampleObjects.ONCE)).status() == 200);
      }
    }
  }

  @Test
  public void testBurstAtAllInstancesMakesNoBrittleUpstreamFallOver() throws Exception {
    fleet = GatewayFleet.start(List.of("hall-a", "hall-a", "hall-b"), 2);
    makeBrittle();
    awaitServedByAll();
    int served = 0;
    for (int round = 0; round < ROUNDS; round++) {
      for (CompletableFuture<Http.Response> response : sendBurst()) {
        served += response.get().status() == 200 ? 1 : 0;
      }
    }
    for (UpstreamStandin upstream : fleet.upstreams.values()) {
      assertEquals(upstream.crashes(), 0);
    }
    int places = SampleObjects.SLOTS * fleet.upstreams.size();
    assertTrue(served >= ROUNDS * places / 2, served + " served, " + places + " places");
  }

  private List<CompletableFuture<Http.Response>> sendBurst() {
    List<CompletableFuture<Http.Response>> responses = new ArrayList<>();
    for (int number = 0; number < REQUESTS_PER_ROUND; number++) {
      for (int instance = 0; instance < INSTANCES; instance++) {
        responses.add(Http.sendAsync(fleet.request(instance, SampleObjects.ONCE)));
      }
    }
    return responses;
  }
}
