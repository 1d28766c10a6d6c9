// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.oatlug.adapter.standin.SampleObjects;
import org.oatlug.adapter.standin.UpstreamStandin;
import org.oatlug.adapter.standin.UpstreamStandin.Arrival;
import org.oatlug.adapter.standin.UpstreamStandin.Behaviour;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against responses that are truncated, duplicated or belong to another request, and against
 * refusals that state wrongly whether the request ran. Such failures come about when an upstream
 * refuses, fails, hangs, loses or truncates its response, or responds to another request. Runs
 * separate processes.
 */
public class GatewayAnswerProcessTest {
  /**
   * Bounds the attempts until an upstream is selected. Two upstreams of equal cost are selected at
   * random, so the probability that one is never selected is negligible.
   */
  private static final int MAX_ROUNDS = 60;

  private GatewayCluster cluster;

  @BeforeMethod
  void start() throws IOException {
    cluster = GatewayCluster.start(1, 2);
  }

  @AfterMethod(alwaysRun = true)
  void stop() {
    cluster.close();
  }

  private UpstreamStandin upstream(int number) {
    return cluster.upstreams.get("i-" + number);
  }

  private void setBehaviourOfAll(Behaviour behaviour) {
    cluster.upstreams.values().forEach(upstream -> upstream.setBehaviour(behaviour));
  }

  private static String completeStream(String id, long first, long events) {
    StringBuilder text = new StringBuilder();
    for (long number = first; number < events; number++) {
      text.append(UpstreamStandin.eventText(id, number));
    }
    return text.toString();
  }

  private List<Arrival> arrivals() {
    return cluster.upstreams.values().stream()
        .flatMap(upstream -> upstream.arrivals().stream())
        .toList();
  }

  @Test
  public void testPlainResponseIsForwardedUnchanged() throws IOException {
    Http.Response answer = Http.send(cluster.request(0, SampleObjects.REPEATABLE + "x?y=%20z"));
    assertEquals(answer.status(), 200);
    assertTrue(answer.body().startsWith("answer to " + cluster.lastId()), answer.body());
    assertTrue(answer.header("Response-Signature").startsWith("signed-by-i-"));
    Arrival arrival = arrivals().get(0);
    assertEquals(arrival.uri(), SampleObjects.REPEATABLE + "x?y=%20z");
    assertEquals(arrival.body(), "a body");
    assertEquals(arrival.header("Attempt-Id"), Optional.of(cluster.lastId()));
  }

  @Test
  public void testNonIdempotentRequestRunsAtMostOnceUnderEveryFailure() throws IOException {
    for (Behaviour behaviour : Behaviour.values()) {
      setBehaviourOfAll(behaviour);
      int before = cluster.arrivals();
      try {
        Http.send(cluster.request(0, SampleObjects.ONCE + "x"));
      } catch (IOException e) {
        assertEquals(behaviour, Behaviour.CUTS, "only a truncated response closes its connection");
      }
      int arrived = cluster.arrivals() - before;
      int maximum = behaviour == Behaviour.REFUSES ? 2 : 1;
      assertTrue(arrived >= 1 && arrived <= maximum, behaviour + " requests received: " + arrived);
    }
  }

  @Test
  public void testLargeResponseIsForwardedCompletely() throws IOException {
    cluster.upstreams.values().forEach(upstream -> upstream.setPaddingBytes(1_000_000));
    Http.Response answer = Http.send(cluster.request(0, SampleObjects.ONCE + "x"));
    assertEquals(answer.status(), 200);
    assertTrue(answer.body().length() > 1_000_000);
    assertTrue(answer.body().startsWith("answer to " + cluster.lastId()));
  }

  @Test
  public void testTruncatedLargeResponseDoesNotLookComplete() {
    cluster.upstreams.values().forEach(upstream -> upstream.setPaddingBytes(1_000_000));
    setBehaviourOfAll(Behaviour.CUTS);
    assertThrows(IOException.class, () -> Http.send(cluster.request(0, SampleObjects.ONCE + "x")));
    int before = cluster.arrivals();
    assertThrows(
        IOException.class, () -> Http.send(cluster.request(0, SampleObjects.REPEATABLE + "x")));
    assertEquals(
        cluster.arrivals(), before + 1, "a response that is partly forwarded must not be retried");
  }

  @Test
  public void testLowConfidenceResponseIsReturnedWithoutAnotherUpstream() throws IOException {
    cluster.store.delete("servers", "i-2");
    Await.until(
        "i-2 is removed",
        () -> {
          int before = upstream(2).arrivals().size();
          for (int round = 0; round < 10; round++) {
            Http.send(cluster.request(0, SampleObjects.ONCE + "x"));
          }
          return upstream(2).arrivals().size() == before;
        });
    upstream(1).setConfidence("small", 0);
    int before = cluster.arrivals();
    assertEquals(Http.send(cluster.streamRequest(0, "one")).status(), 200);
    assertEquals(cluster.arrivals(), before + 1);
  }

  @Test
  public void testApiKeyIsRemovedAndSystemHeadersAreReplaced() throws IOException {
    Http.send(
        cluster
            .request(0, SampleObjects.ONCE + "x")
            .header("Tenant", "another")
            .header("Target-Instance", "another")
            .header("Hold", "h")
            .header("Kv-From", "k")
            .header("X-Own", "kept"));
    Arrival arrival = arrivals().get(0);
    assertEquals(arrival.header("Authorization"), Optional.empty());
    assertEquals(arrival.header("Tenant"), Optional.of("desk"));
    assertEquals(arrival.header("Hold"), Optional.empty());
    assertEquals(arrival.header("Kv-From"), Optional.empty());
    assertEquals(arrival.header("X-Own"), Optional.of("kept"));
    long deadlineMillis = Long.parseLong(arrival.header("Request-Deadline").orElse("0"));
    assertTrue(
        deadlineMillis > 0 && deadlineMillis <= 2000,
        "the deadline is not within the timeout of the route: " + deadlineMillis);
  }

  @Test
  public void testRefusedRequestIsRetriedAtAnotherUpstream() throws IOException {
    upstream(1).setBehaviour(Behaviour.REFUSES);
    for (int round = 0; round < MAX_ROUNDS && upstream(1).arrivals().isEmpty(); round++) {
      assertEquals(Http.send(cluster.request(0, SampleObjects.REPEATABLE + round)).status(), 200);
    }
    assertTrue(upstream(1).arrivals().size() > 0, "the refusing upstream never got a request");
  }

  @Test
  public void testRefusalByAllUpstreamsIsReportedAsNotRun() throws IOException {
    setBehaviourOfAll(Behaviour.REFUSES);
    Http.Response answer = Http.send(cluster.request(0, SampleObjects.ONCE + "x"));
    assertEquals(answer.status(), 503);
    assertEquals(answer.notRun(), "yes");
    assertTrue(Double.parseDouble(answer.header("Retry-After")) > 0);
    assertEquals(answer.header("Response-Signature"), "");
  }

  @Test
  public void testNonIdempotentRequestIsSentOnceWhenItsResponseIsLost() throws IOException {
    setBehaviourOfAll(Behaviour.LOSES_RESPONSE);
    Http.Response answer = Http.send(cluster.request(0, SampleObjects.ONCE + "x"));
    assertEquals(answer.status(), 502);
    assertEquals(answer.notRun(), "unknown");
    assertEquals(cluster.arrivals(), 1);
  }

  @Test
  public void testRepeatableRequestIsRetriedAfterEachFailure() throws IOException {
    for (Behaviour behaviour :
        List.of(
            Behaviour.FAILS,
            Behaviour.LOSES_RESPONSE,
            Behaviour.CUTS,
            Behaviour.RESPONDS_TO_ANOTHER_REQUEST)) {
      upstream(1).setBehaviour(behaviour);
      int before = upstream(1).arrivals().size();
      for (int round = 0; round < 6; round++) {
        Http.Response answer = Http.send(cluster.request(0, SampleObjects.REPEATABLE + round));
        assertEquals(answer.status(), 200, behaviour.name());
        assertTrue(answer.body().startsWith("answer to " + cluster.lastId()), behaviour.name());
      }
      assertTrue(upstream(1).arrivals().size() >= before, behaviour.name());
    }
  }

  @Test
  public void testResponseToAnotherRequestIsNeverForwarded() throws IOException {
    setBehaviourOfAll(Behaviour.RESPONDS_TO_ANOTHER_REQUEST);
    Http.Response answer = Http.send(cluster.request(0, SampleObjects.ONCE + "x"));
    assertEquals(answer.status(), 502);
    assertEquals(cluster.arrivals(), 1);
  }

  @Test
  public void testStreamIsCompleteAndSigned() throws IOException {
    Http.Response answer = Http.send(cluster.streamRequest(0, "one"));
    assertEquals(answer.status(), 200);
    assertEquals(answer.body(), completeStream(cluster.lastId(), 0, 5));
    assertTrue(answer.header("Response-Signature").startsWith("signed-by-i-"));
  }

  @Test
  public void testTruncatedStreamResumesElsewhereWithEachEventOnce() throws IOException {
    upstream(1).setBehaviour(Behaviour.CUTS);
    upstream(1).setStream(9, 5, 3);
    upstream(2).setStream(9, 5, 99);
    for (int round = 0; round < MAX_ROUNDS && upstream(1).arrivals().isEmpty(); round++) {
      Http.Response answer = Http.send(cluster.streamRequest(0, "s" + round));
      assertEquals(answer.status(), 200);
      assertEquals(answer.body(), completeStream(cluster.lastId(), 0, 9));
    }
    boolean resumed =
        arrivals().stream().anyMatch(arrival -> arrival.header("Last-Event-Id").isPresent());
    assertTrue(resumed, "no stream was resumed at another upstream");
  }

  @Test
  public void testStreamThatNoUpstreamCompletesNeverLooksComplete() {
    setBehaviourOfAll(Behaviour.CUTS);
    assertThrows(IOException.class, () -> Http.send(cluster.streamRequest(0, "one")));
  }

  @Test
  public void testCallerResumesAfterLastEventId() throws IOException {
    Http.Response answer = Http.send(cluster.streamRequest(0, "one").header("Last-Event-Id", "2"));
    assertEquals(answer.body(), completeStream(cluster.lastId(), 3, 5));
  }

  @Test
  public void testLowConfidenceResponseOfSmallModelIsReplacedByLargest() throws IOException {
    cluster.upstreams.values().forEach(upstream -> upstream.setConfidence("small", 5));
    Http.Response answer = Http.send(cluster.streamRequest(0, "one"));
    assertEquals(answer.body(), completeStream(cluster.lastId(), 0, 5));
    assertEquals(answer.header("Confidence"), "90");
    List<String> models =
        arrivals().stream().map(arrival -> arrival.header("Model").orElse("")).sorted().toList();
    assertEquals(models, List.of("large", "small"));
  }

  @Test
  public void testUnresponsiveUpstreamIsReplacedByAnother() throws IOException {
    upstream(1).setBehaviour(Behaviour.HANGS);
    for (int round = 0; round < MAX_ROUNDS && upstream(1).arrivals().isEmpty(); round++) {
      assertEquals(Http.send(cluster.request(0, SampleObjects.REPEATABLE + round)).status(), 200);
    }
    assertTrue(upstream(1).arrivals().size() > 0, "the unresponsive upstream never got a request");
    Await.until(
        "every request is cancelled",
        () -> upstream(1).cancelled() == upstream(1).arrivals().size());
  }

  /** The timeout of the route, which is before the deadline of the caller, ends the request. */
  @Test
  public void testUnresponsiveUpstreamsTimeOutWithUnknownOutcome() throws IOException {
    setBehaviourOfAll(Behaviour.HANGS);
    Http.Response answer = Http.send(cluster.request(0, SampleObjects.ONCE + "x"));
    assertEquals(answer.status(), 504);
    assertEquals(answer.notRun(), "unknown");
    assertEquals(cluster.arrivals(), 1);
  }

  /** The entry i-0 is stale: i-1 now has its address and rejects requests addressed to i-0. */
  @Test
  public void testUpstreamAtReusedAddressIsReplacedByAnother() throws IOException {
    cluster.register("i-0", "i-1", "v1");
    for (int round = 0; round < 8; round++) {
      assertEquals(Http.send(cluster.request(0, SampleObjects.REPEATABLE + round)).status(), 200);
    }
  }

  @Test
  public void testCountersAndHistogramsAreExported() throws IOException {
    setBehaviourOfAll(Behaviour.REFUSES);
    Http.send(cluster.request(0, SampleObjects.ONCE + "x"));
    String metrics = Http.get(cluster.metricsPort(0), "/metrics").body();
    assertTrue(metrics.contains("refusal_upstream_refused 1.0"), metrics);
    assertTrue(metrics.contains("request_at_most_once"), metrics);
  }
}
