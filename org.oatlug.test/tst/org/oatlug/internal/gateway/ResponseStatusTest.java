// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.concurrent.CompletionException;
import org.oatlug.adapter.standin.RawUpstream;
import org.oatlug.adapter.standin.SampleObjects;
import org.oatlug.internal.util.HttpClients;
import org.oatlug.test.Ports;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a response without a valid final status that is taken for an answer: an upstream
 * in trouble sends 000, for instance, and its caller gets that as a signed response.
 */
public class ResponseStatusTest {
  private GatewayServerFixture server;
  private RawUpstream upstream;
  private int port;

  @BeforeMethod
  void start() throws Exception {
    server = new GatewayServerFixture();
    upstream = server.addRawUpstream("i-1");
    port = server.listen();
  }

  @AfterMethod(alwaysRun = true)
  void stop() {
    server.close();
  }

  private static String response(String id, String status) {
    return "HTTP/1.1 %s Any\r\nAttempt-Id: %s\r\nResponse-Signature: signed\r\n"
            .formatted(status, id)
        + "Content-Length: 4\r\n\r\nbody";
  }

  private String request(String path, String headers) throws IOException {
    try {
      return GatewayServerFixture.request(port, path, "request-1", headers);
    } catch (SocketTimeoutException e) {
      return "no response";
    }
  }

  /** Returns the statuses that are none, on a plain route and on one for streams. */
  @DataProvider
  Object[][] invalidStatuses() {
    return new Object[][] {
      {"000", SampleObjects.ONCE, ""},
      {"099", SampleObjects.ONCE, ""},
      {"20", SampleObjects.ONCE, ""},
      {"2000", SampleObjects.ONCE, ""},
      {"600", SampleObjects.ONCE, ""},
      {"999", SampleObjects.ONCE, ""},
      {"101", SampleObjects.ONCE, ""},
      {"abc", SampleObjects.ONCE, ""},
      {"000", SampleObjects.STREAM, GatewayServerFixture.GENERATION},
      {"600", SampleObjects.STREAM, GatewayServerFixture.GENERATION},
      {"101", SampleObjects.STREAM, GatewayServerFixture.GENERATION}
    };
  }

  @Test(dataProvider = "invalidStatuses")
  public void testInvalidStatusIsNoResponse(String status, String path, String headers)
      throws IOException {
    upstream.respondWith(id -> response(id, status), "", false);
    String response = request(path, headers);
    assertTrue(response.startsWith("HTTP/1.1 502 "), response);
    assertFalse(response.contains("Response-Signature"), response);
    assertEquals(upstream.arrivals(), 1);
    assertTrue(server.infersFailureOf("i-1"), "the upstream is not blamed");
  }

  /** Returns interim statuses that precede a final response. */
  @DataProvider
  Object[][] interimStatuses() {
    return new Object[][] {{"100"}, {"102"}, {"103"}, {"199"}};
  }

  @Test(dataProvider = "interimStatuses")
  public void testFinalResponseFollowsInterimOne(String status) throws IOException {
    upstream.respondWith(
        id -> "HTTP/1.1 " + status + " Interim\r\n\r\n" + response(id, "200"), "", true);
    String response = request(SampleObjects.ONCE, "");
    assertTrue(response.startsWith("HTTP/1.1 200 "), response);
    assertTrue(response.endsWith("body"), response);
  }

  @Test
  public void testInterimResponsesWithoutEndAreNoResponse() throws IOException {
    upstream.respondWith(id -> "", "HTTP/1.1 102 Processing\r\n\r\n", false);
    String response = request(SampleObjects.ONCE, "");
    assertTrue(response.startsWith("HTTP/1.1 502 "), response);
  }

  /** The client of the store and of other services has the same check. */
  @Test
  public void testWholeResponseWithInvalidStatusFails() {
    Vertx vertx = Vertx.vertx();
    RawUpstream service = RawUpstream.create(vertx);
    int servicePort = Ports.free();
    service
        .listen(GatewayServerFixture.HOST, servicePort)
        .toCompletionStage()
        .toCompletableFuture()
        .join();
    service.respondWith(id -> response(id, "000"), "", false);
    assertThrows(
        CompletionException.class,
        () ->
            HttpClients.createWebClient(vertx)
                .get(servicePort, GatewayServerFixture.HOST, "/")
                .send()
                .toCompletionStage()
                .toCompletableFuture()
                .join());
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }
}
