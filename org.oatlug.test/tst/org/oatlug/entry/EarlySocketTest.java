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
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletionException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Shows that callers who connect while an instance starts are served once it has started. */
public class EarlySocketTest {
  private static final String HOST = "127.0.0.1";

  private Path settings;
  private int port;
  private Vertx vertx;

  @BeforeMethod
  void begin() throws IOException {
    settings = Files.createTempFile("oatlug-early", ".json");
    try (ServerSocket free = new ServerSocket(0)) {
      port = free.getLocalPort();
    }
  }

  @AfterMethod(alwaysRun = true)
  void end() throws IOException {
    if (vertx != null) {
      vertx.close().toCompletionStage().toCompletableFuture().join();
    }
    Files.delete(settings);
  }

  private EarlySocket open() throws IOException {
    String text =
        "{\"peers\":{\"callers\":\"1.2.3.4:1\"},\"callers\":\"" + HOST + ":" + port + "\"}";
    Files.writeString(settings, text);
    return EarlySocket.open(settings).orElseThrow();
  }

  private HttpServer serve(int onPort) {
    return vertx
        .createHttpServer()
        .requestHandler(request -> request.response().end("served"))
        .listen(onPort, HOST)
        .toCompletionStage()
        .toCompletableFuture()
        .join();
  }

  private Socket ask() throws IOException {
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
  public void testCallerThatConnectedBeforeTheServerIsServed() throws IOException {
    EarlySocket early = open();
    Socket caller = ask();
    vertx = Vertx.builder().withTransport(early.transport()).build();
    serve(port);
    assertServed(caller);
    assertServed(ask());
    int second = serve(0).actualPort();
    assertTrue(second != port, "a second server has a socket of its own");
  }

  @Test
  public void testServerForAnotherAddressDoesNotGetTheSocket() throws IOException {
    EarlySocket early = open();
    vertx = Vertx.builder().withTransport(early.transport()).build();
    assertThrows(CompletionException.class, () -> serve(0));
  }

  @Test
  public void testSettingsWithoutAddressAreLeftToTheWholeReading() throws IOException {
    Files.writeString(settings, "{\"name\":\"x\"}");
    assertTrue(EarlySocket.open(settings).isEmpty());
    Files.writeString(settings, "no settings");
    assertTrue(EarlySocket.open(settings).isEmpty());
  }
}
