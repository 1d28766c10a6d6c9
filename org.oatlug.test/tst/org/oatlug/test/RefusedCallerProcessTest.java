// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import org.oatlug.adapter.standin.SampleObjects;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/** Runs an instance as a separate process whose service has no upstream that may be used. */
public class RefusedCallerProcessTest {
  private static final int CALLERS = 20;

  private GatewayCluster cluster;

  @AfterMethod(alwaysRun = true)
  void stop() {
    if (cluster != null) {
      cluster.close();
    }
  }

  private void start(String retries) throws IOException {
    JsonObject configuration = SampleObjects.configuration(1);
    for (Object route : configuration.getJsonArray("routes")) {
      ((JsonObject) route).put("timeout-ms", 60_000);
    }
    cluster = GatewayCluster.startManaged(configuration, new JsonObject().put("retries", retries));
    cluster.store.put("evacuations", "hall-a", new JsonObject());
    Await.until("requests are refused", () -> refuse("first") > 0);
  }

  /** Returns the delay in seconds of a refusal, 0 if the request was served. */
  private double refuse(String name) throws IOException {
    Http.Response answer =
        Http.send(
            cluster.request(0, SampleObjects.ONCE + name).setHeader("Request-Deadline", "60000"));
    return answer.status() == 503 ? Double.parseDouble(answer.header("Retry-After")) : 0;
  }

  private String metrics() throws IOException {
    return Http.get(cluster.metricsPort(0), "/metrics").body();
  }

  /**
   * Guards against callers that are told to return together, and retries taken for new requests.
   */
  @Test
  public void testRefusedCallersReturnOneAfterAnother() throws Exception {
    start("on");
    double last = 0;
    for (int caller = 0; caller < CALLERS; caller++) {
      last = refuse("caller-" + caller);
    }
    assertTrue(last > CALLERS * 0.1, "the last may return after " + last + " s");
    double again = refuse("caller-" + (CALLERS - 1));
    assertTrue(again > 0 && again < last, again + " s after " + last + " s");
    assertTrue(metrics().contains("retry_returned_early"), metrics());
    Thread.sleep((long) (again * 1000));
    assertTrue(refuse("caller-" + (CALLERS - 1)) > 0);
    assertTrue(metrics().contains("retry_returned_in_time"), metrics());
    Await.until(
        "the return time is logged",
        () ->
            Files.readString(cluster.log(0)).matches("(?s).* returnMillis=\\d+ perSecond=3\\.3.*"));
  }

  /** Guards against any change with the part switched off. */
  @Test
  public void testDelayIsFixedWithSwitchOff() throws IOException {
    start("off");
    for (int caller = 0; caller < CALLERS; caller++) {
      assertEquals(refuse("caller"), 0.3);
    }
    assertFalse(metrics().contains("retry_returned"), metrics());
  }
}
