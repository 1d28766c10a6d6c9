// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.oatlug.adapter.standin.SampleObjects;
import org.oatlug.adapter.standin.UpstreamStandin;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * A request that was chosen an upstream which leaves before the connection to it is open.
 *
 * <p>Symptom: requests reached upstreams that had said that they leave. Sequence: the choice, then
 * the news, then the connection opens (up to 400 ms, or longer in a process that stood still), then
 * the request is written. Cause: nothing looked at the entry again between the choice and the
 * write. Found by reading; before the repair the first test saw the request at the upstream that
 * leaves, with the line "is sent though the upstream leaves".
 */
public class LeavingUpstreamTest {
  private static final String NEAR = "near";
  private static final String FAR = "far";

  private HeldUpFront front;

  @BeforeMethod
  void begin() {
    front = new HeldUpFront();
  }

  @AfterMethod
  void end() {
    front.close();
  }

  private static HttpResponse<String> send(int port) throws IOException, InterruptedException {
    URI uri = URI.create("http://" + HeldUpFront.HOST + ":" + port + SampleObjects.ONCE + "1");
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .header("Attempt-Id", "request-1")
            .header("Request-Deadline", "5000")
            .POST(HttpRequest.BodyPublishers.ofString("a body"))
            .build();
    return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
  }

  @Test
  public void testRequestGoesElsewhereWhenItsUpstreamLeavesBeforeItIsWritten() throws Exception {
    final UpstreamStandin near = front.addUpstream(NEAR, "hall-a");
    final UpstreamStandin far = front.addUpstream(FAR, "hall-b");
    int port = front.listen();
    front.afterChoice(() -> front.leaves(NEAR));
    assertEquals(send(port).statusCode(), 200);
    assertEquals(near.arrivals().size(), 0, "at the upstream that leaves");
    assertEquals(far.arrivals().size(), 1, "at the other one");
  }

  /** An upstream may ask another request for rest while the connection for this one is opened. */
  @Test
  public void testRequestGoesElsewhereWhenItsUpstreamWantsRestBeforeItIsWritten() throws Exception {
    final UpstreamStandin near = front.addUpstream(NEAR, "hall-a");
    final UpstreamStandin far = front.addUpstream(FAR, "hall-b");
    int port = front.listen();
    front.afterChoice(() -> front.rests(NEAR, Duration.ofMinutes(1)));
    assertEquals(send(port).statusCode(), 200);
    assertEquals(near.arrivals().size(), 0, "at the upstream that wants rest");
    assertEquals(far.arrivals().size(), 1, "at the other one");
  }

  @Test
  public void testRequestIsRefusedAsNotRunWhenNoOtherUpstreamIsLeft() throws Exception {
    final UpstreamStandin near = front.addUpstream(NEAR, "hall-a");
    int port = front.listen();
    front.afterChoice(() -> front.leaves(NEAR));
    assertEquals(send(port).statusCode(), 503);
    assertEquals(near.arrivals().size(), 0, "at the upstream that leaves");
  }
}
