// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import org.oatlug.adapter.standin.PacedUpstream;
import org.oatlug.adapter.standin.SampleObjects;
import org.oatlug.adapter.standin.UpstreamStandin;
import org.oatlug.internal.limit.ReadAheadBudget;
import org.oatlug.test.Await;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/**
 * Sends streams to callers that do not read.
 *
 * <p>Guards against upstreams that have to buffer what a caller does not read: one that aborts
 * unread responses loses them, and one with little memory crashes, which interrupts all others.
 */
public class StalledCallersTest {
  /**
   * Without read-ahead, the write queue of the caller and the connection of the upstream hold about
   * 260 KB of a stream; with it, they hold about 380 KB.
   */
  private static final int EVENTS = 88;

  private static final int PAUSE_MILLIS = 20;
  private static final int RECEIVE_BUFFER_BYTES = 4096;
  private static final int ABORT_MILLIS = 2000;
  private static final long CRASH_BYTES = 400 * 1024;
  private static final String GENERATION =
      "Model: m\r\nToken-Usage: 100,50\r\nPrefix-Hash: a1:60\r\n";
  private static final int WHOLE_BYTES = 200_000;
  private static final String END_OF_HEAD = "\r\n\r\n";
  private static final String RESET = "Connection reset";
  private static final String LAST_CHUNK = "\r\n0\r\n\r\n";

  private final List<Socket> callers = new ArrayList<>();
  private GatewayServerFixture server;
  private PacedUpstream upstream;
  private int port;

  private void start(String readers, int events) throws Exception {
    server = GatewayServerFixture.withReaders(readers);
    upstream = server.addPacedUpstream(events, PAUSE_MILLIS);
    port = server.listen();
  }

  @AfterMethod(alwaysRun = true)
  void stop() throws IOException {
    for (Socket caller : callers) {
      caller.close();
    }
    callers.clear();
    server.close();
  }

  /** Sends a request for a stream, without reading the response. */
  private Socket send() throws IOException {
    return send(SampleObjects.STREAM);
  }

  private Socket send(String path) throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    socket.connect(new InetSocketAddress(GatewayServerFixture.HOST, port));
    callers.add(socket);
    String request =
        "POST %s1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: request-%d\r\nRequest-Deadline: 60000\r\n"
                .formatted(path, GatewayServerFixture.HOST, callers.size())
            + (path.equals(SampleObjects.STREAM) ? GENERATION : "")
            + "Connection: close\r\nContent-Length: 6\r\n\r\na body";
    socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    return socket;
  }

  private List<Socket> send(int count) throws IOException {
    List<Socket> sockets = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      sockets.add(send());
    }
    return sockets;
  }

  /** Reads until the connection ends; a reset ends it as well. */
  private static String read(Socket socket) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try {
      socket.getInputStream().transferTo(bytes);
    } catch (IOException e) {
      bytes.writeBytes(e.toString().getBytes(StandardCharsets.US_ASCII));
    }
    return bytes.toString(StandardCharsets.US_ASCII);
  }

  private static void assertWhole(Socket socket, int events) {
    String response = read(socket);
    assertTrue(response.startsWith("HTTP/1.1 200"), response.lines().findFirst().orElse(""));
    assertEquals(response.split("id: ", -1).length - 1, events);
    assertTrue(response.endsWith(LAST_CHUNK), "the response does not end");
  }

  @Test
  public void testUpstreamAbortsUnreadResponseWithoutReadAhead() throws Exception {
    start("off", EVENTS);
    upstream.abortUnreadAfter(ABORT_MILLIS);
    Socket stalled = send();
    Await.until("the response is aborted", () -> upstream.aborted() == 1);
    assertFalse(read(stalled).endsWith(LAST_CHUNK), "a partial response looks complete");
  }

  @Test
  public void testUpstreamCrashesWithoutReadAhead() throws Exception {
    start("off", EVENTS);
    upstream.crashAbove(CRASH_BYTES);
    send(12);
    Await.until("the upstream crashes", upstream::hasCrashed);
  }

  @Test
  public void testStalledCallersAffectNoUpstream() throws Exception {
    start("auto", EVENTS);
    upstream.abortUnreadAfter(ABORT_MILLIS);
    upstream.crashAbove(CRASH_BYTES);
    List<Socket> stalled = send(12);
    Await.until("all responses are read ahead", () -> upstream.completed() == stalled.size());
    Await.until("the callers are noticed", () -> server.count("readers.stalled") > 0);
    assertEquals(server.count("readers.disconnected"), 0);
    stalled.forEach(socket -> assertWhole(socket, EVENTS));
    assertEquals(upstream.aborted(), 0);
    assertFalse(upstream.hasCrashed());
    Await.until("no bytes are held", () -> server.reservedBytes() == 0);
    assertEquals(server.readAheadBytes(), 0);
  }

  @Test
  public void testWholeResponseIsOpenUntilItIsRead() throws Exception {
    server = GatewayServerFixture.withReaders("on");
    UpstreamStandin plain = server.addUpstream("plain", "hall-a");
    plain.setPaddingBytes(WHOLE_BYTES);
    port = server.listen();
    Socket stalled = send(SampleObjects.ONCE);
    Await.until("the response is read ahead", () -> server.readAheadBytes() > 0);
    assertEquals(server.openRequests(), 1, "a planned stop waits for the caller");
    String response = read(stalled);
    int headBytes = response.indexOf(END_OF_HEAD) + END_OF_HEAD.length();
    String length = "content-length: " + (response.length() - headBytes) + "\r\n";
    assertTrue(
        response.toLowerCase(Locale.ROOT).contains(length), response.substring(0, headBytes));
    assertTrue(response.length() > WHOLE_BYTES, response.length() + " bytes");
    Await.until("the request is closed", () -> server.openRequests() == 0);
    assertEquals(server.readAheadBytes(), 0);
  }

  @Test
  public void testInterruptedResponseDoesNotLookCompleteAfterItWasReadAhead() throws Exception {
    start("auto", EVENTS);
    final Socket stalled = send();
    Await.until("events are read ahead", () -> server.readAheadBytes() > WHOLE_BYTES / 2);
    upstream.crashAbove(-1);
    Await.until("the attempt has failed", upstream::hasCrashed);
    String response = read(stalled);
    assertTrue(response.contains("id: 1\n"), "the caller gets what was read ahead");
    assertFalse(response.endsWith(LAST_CHUNK), "a partial response looks complete");
    Await.until("no bytes are held", () -> server.reservedBytes() == 0);
  }

  @Test
  public void testTwoStalledCallersDelayNoOthers() throws Exception {
    start("auto", EVENTS);
    upstream.abortUnreadAfter(ABORT_MILLIS);
    final List<Socket> stalled = send(2);
    List<CompletableFuture<Void>> readers = new ArrayList<>();
    for (Socket socket : send(98)) {
      readers.add(
          CompletableFuture.runAsync(
              () -> assertWhole(socket, EVENTS), runnable -> new Thread(runnable).start()));
    }
    readers.forEach(CompletableFuture::join);
    Await.until("all are complete", () -> upstream.completed() == 100);
    long limit = stalled.size() * ReadAheadBudget.MAXIMUM_RESPONSE_BYTES;
    assertTrue(server.readAheadBytes() <= limit, server.readAheadBytes() + " bytes held");
    stalled.forEach(socket -> assertWhole(socket, EVENTS));
  }

  @Test
  public void testStalledCallersAreEvictedUnderMemoryPressure() throws Exception {
    int events = 3 * EVENTS;
    start("auto", events);
    final List<Socket> stalled = send(36);
    Await.until("some are evicted", () -> server.count("readers.disconnected") > 0);
    assertWhole(send(), events);
    long limit = ReadAheadBudget.DEFAULT_MAXIMUM_BYTES;
    assertTrue(server.readAheadBytes() <= limit, server.readAheadBytes() + " bytes held");
    Await.until(
        "evicted connections are closed before their callers read",
        () -> server.openRequests() == stalled.size() - server.count("readers.disconnected"));
    long reset = stalled.stream().filter(socket -> read(socket).contains(RESET)).count();
    assertEquals(reset, server.count("readers.disconnected"), "partial responses look complete");
  }
}
