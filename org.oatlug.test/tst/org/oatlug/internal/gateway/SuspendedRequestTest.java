// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.oatlug.adapter.standin.SampleObjects;
import org.oatlug.adapter.standin.UpstreamStandin;
import org.oatlug.adapter.standin.UpstreamStandin.Behaviour;
import org.oatlug.test.Await;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests requests that are open while the host is suspended.
 *
 * <p>Guards against timers that do not count the suspension: a request whose deadline passes
 * meanwhile is answered late by the whole suspension, and a request whose upstream was selected
 * before the suspension is forwarded with more time than its caller still waits.
 */
public class SuspendedRequestTest {
  private static final Duration DEADLINE = Duration.ofSeconds(60);
  private static final Duration SUSPENDED = Duration.ofSeconds(40);

  /** Far less than the time left on a timer that does not count the suspension. */
  private static final long WAIT_SECONDS = 30;

  private GatewayServerFixture server;
  private UpstreamStandin upstream;
  private int port;

  @BeforeMethod
  void setUp() throws Exception {
    server = new GatewayServerFixture();
    upstream = server.addUpstream("near", "hall-a");
    port = server.listen();
  }

  @AfterMethod
  void tearDown() {
    server.close();
  }

  private CompletableFuture<HttpResponse<String>> send() {
    URI uri =
        URI.create("http://" + GatewayServerFixture.HOST + ":" + port + SampleObjects.ONCE + "1");
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .header("Attempt-Id", "request-1")
            .header("Request-Deadline", Long.toString(DEADLINE.toMillis()))
            .POST(HttpRequest.BodyPublishers.ofString("a body"))
            .build();
    return HttpClient.newHttpClient().sendAsync(request, HttpResponse.BodyHandlers.ofString());
  }

  @Test
  public void testRequestIsForwardedWithTheRemainingTime() throws Exception {
    server.onChoice(() -> server.suspend(SUSPENDED));
    assertEquals(send().get(WAIT_SECONDS, TimeUnit.SECONDS).statusCode(), 200);
    String remainingMillis = upstream.arrivals().get(0).header("Request-Deadline").orElseThrow();
    Duration maximum = DEADLINE.minus(SUSPENDED);
    assertTrue(
        Long.parseLong(remainingMillis) <= maximum.toMillis(),
        remainingMillis + " ms were forwarded");
  }

  @Test
  public void testRequestPastItsDeadlineIsNotForwarded() throws Exception {
    server.onChoice(() -> server.suspend(DEADLINE));
    HttpResponse<String> answer = send().get(WAIT_SECONDS, TimeUnit.SECONDS);
    assertEquals(answer.statusCode(), 503);
    assertEquals(upstream.arrivals().size(), 0);
  }

  @Test
  public void testOpenRequestPastItsDeadlineIsAnsweredAtOnce() throws Exception {
    upstream.setBehaviour(Behaviour.HANGS);
    final CompletableFuture<HttpResponse<String>> answer = send();
    Await.until("the request has arrived", () -> !upstream.arrivals().isEmpty());
    server.suspend(DEADLINE);
    server.notifySuspension();
    assertEquals(answer.get(WAIT_SECONDS, TimeUnit.SECONDS).statusCode(), 504);
  }
}
