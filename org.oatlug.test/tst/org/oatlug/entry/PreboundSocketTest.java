// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;
import org.oatlug.internal.limit.AcceptGate;
import org.oatlug.internal.limit.AcceptWindow;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that callers that connect while an instance starts, before its HTTP server listens, are
 * served once it has started.
 */
public class PreboundSocketTest {
  private static final String HOST = "127.0.0.1";

  private volatile Instant now = Instant.EPOCH;
  private final AcceptGate gate = AcceptGate.create(() -> now);
  private final AcceptWindow window = AcceptWindow.create(() -> now);
  private Path settings;
  private int port;
  private Vertx vertx;

  @BeforeMethod
  void setUp() throws IOException {
    settings = Files.createTempFile("oatlug-early", ".json");
    try (ServerSocket freeSocket = new ServerSocket(0)) {
      port = freeSocket.getLocalPort();
    }
  }

  @AfterMethod(alwaysRun = true)
  void tearDown() throws IOException {
    if (vertx != null) {
      vertx.close().toCompletionStage().toCompletableFuture().join();
    }
    Files.delete(settings);
  }

  private PreboundSocket open() throws IOException {
    return openWith("off");
  }

  private PreboundSocket openWith(String accepting) throws IOException {
    String json =
        ("{\"peers\":{\"callers\":\"1.2.3.4:1\"},"
                + "\"loadManagement\":{\"accepting\":\"%s\"},\"callers\":\"%s:%d\"}")
            .formatted(accepting, HOST, port);
    Files.writeString(settings, json);
    return PreboundSocket.open(settings).orElseThrow();
  }

  private HttpServer serve(int listenPort) {
    return vertx
        .createHttpServer()
        .requestHandler(request -> request.response().end("served"))
        .listen(listenPort, HOST)
        .toCompletionStage()
        .toCompletableFuture()
        .join();
  }

  private Socket sendRequest() throws IOException {
    Socket caller = new Socket(HOST, port);
    caller.setSoTimeout(10_000);
    String request = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    return caller;
  }

  private static void assertServed(Socket caller) throws IOException {
    try (caller;
        BufferedReader reader =
            new BufferedReader(new InputStreamReader(caller.getInputStream()))) {
      assertEquals(reader.readLine(), "HTTP/1.1 200 OK");
      assertTrue(reader.lines().anyMatch("served"::equals));
    }
  }

  @Test
  public void testCallerConnectedBeforeServerStartIsServed() throws IOException {
    PreboundSocket socket = open();
    Socket caller = sendRequest();
    vertx = Vertx.builder().withTransport(socket.transport(gate, window)).build();
    serve(port);
    assertServed(caller);
    assertServed(sendRequest());
    int secondPort = serve(0).actualPort();
    assertTrue(secondPort != port, "a second server has its own socket");
  }

  private static boolean isClosedUnread(Socket caller) throws IOException {
    try (caller) {
      return caller.getInputStream().read() == -1;
    } catch (SocketException e) {
      // A connection that is closed with unread bytes is reset.
      return true;
    }
  }

  /** Guards against an overloaded instance that spends its time on connections that it refuses. */
  @Test
  public void testClosedGateRefusesConnectionsBeforeTheServerSeesThem() throws IOException {
    vertx = Vertx.builder().withTransport(open().transport(gate, window)).build();
    serve(port);
    assertServed(sendRequest());
    gate.close();
    for (int attempt = 0; attempt < 5; attempt++) {
      assertTrue(isClosedUnread(sendRequest()), "attempt " + attempt);
    }
    assertEquals(gate.takeRefused(), 5);
    now = now.plusMillis(250);
    assertServed(sendRequest());
    assertTrue(isClosedUnread(sendRequest()), "within 250 ms of the one that passed");
    gate.open();
    assertServed(sendRequest());
  }

  /** Guards against the short backlog of a limited server, which a start would overflow. */
  @Test
  public void testAllCallersOfStartAreServedDespiteShortBacklog() throws IOException {
    PreboundSocket socket = openWith("auto");
    List<Socket> callers = new ArrayList<>();
    for (int index = 0; index < 60; index++) {
      callers.add(sendRequest());
    }
    vertx = Vertx.builder().withTransport(socket.transport(gate, window)).build();
    serve(port);
    for (Socket caller : callers) {
      assertServed(caller);
    }
    assertServed(sendRequest());
  }

  /** Returns a caller that waits to be accepted, because a request occupies the only place. */
  private Socket callerWithoutPlace() throws IOException {
    vertx = Vertx.builder().withTransport(openWith("on").transport(gate, window)).build();
    serve(port);
    assertServed(sendRequest());
    window.requestBegan();
    window.setLimit(1);
    Socket waiting = sendRequest();
    waiting.setSoTimeout(100);
    assertThrows(SocketTimeoutException.class, () -> waiting.getInputStream().read());
    waiting.setSoTimeout(10_000);
    return waiting;
  }

  /** Guards against an overloaded instance that reads more requests than it can serve. */
  @Test
  public void testConnectionIsAcceptedOnceThereIsPlace() throws Exception {
    Socket waiting = callerWithoutPlace();
    window.requestReleased();
    assertServed(waiting);
  }

  /** Guards against an instance that reports itself ready and takes no connection at all. */
  @Test
  public void testConnectionIsAcceptedWithoutPlaceAfterInterval() throws Exception {
    Socket waiting = callerWithoutPlace();
    now = now.plusMillis(250);
    assertServed(waiting);
  }

  @Test
  public void testServerForAnotherAddressFailsToBind() throws IOException {
    PreboundSocket socket = open();
    vertx = Vertx.builder().withTransport(socket.transport(gate, window)).build();
    assertThrows(CompletionException.class, () -> serve(0));
  }

  @Test
  public void testSettingsWithoutAddressOpenNoSocket() throws IOException {
    Files.writeString(settings, "{\"name\":\"x\"}");
    assertTrue(PreboundSocket.open(settings).isEmpty());
    Files.writeString(settings, "no settings");
    assertTrue(PreboundSocket.open(settings).isEmpty());
  }
}
