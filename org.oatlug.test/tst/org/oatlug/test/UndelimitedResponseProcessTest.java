// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.oatlug.adapter.standin.SampleObjects;
import org.oatlug.adapter.standin.UndelimitedUpstream;
import org.oatlug.adapter.standin.UpstreamStandin;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against responses with neither a length nor chunks that look complete because their
 * upstream crashed while it wrote them.
 */
public class UndelimitedResponseProcessTest {
  private static final int UPSTREAMS = 3;

  private GatewayCluster cluster;
  private List<UndelimitedUpstream> upstreams;

  @BeforeMethod
  void start() throws IOException {
    cluster = GatewayCluster.startEmpty(1);
    cluster.store.put("config", "main", SampleObjects.configuration(1));
    upstreams = new ArrayList<>();
    for (int number = 0; number < UPSTREAMS; number++) {
      upstreams.add(cluster.addUndelimitedUpstream("i-" + number));
    }
    cluster.awaitReady(0);
    Await.until(
        "all upstreams are known",
        () -> cluster.command(0, "status").contains("i-" + (UPSTREAMS - 1)));
  }

  @AfterMethod(alwaysRun = true)
  void stop() {
    cluster.close();
  }

  /** Makes the upstream that receives the next request crash, and sends that request. */
  private Http.Response responseAtCrash(int bytes, HttpRequest.Builder request) throws IOException {
    upstreams.forEach(
        upstream ->
            upstream.crashAfter(bytes, () -> upstreams.forEach(UndelimitedUpstream::doNotCrash)));
    Http.Response response = Http.send(request);
    assertEquals(upstreams.stream().filter(UndelimitedUpstream::hasCrashed).count(), 1);
    return response;
  }

  /** The places at which a stream ends: before and between events, and inside one. */
  @DataProvider
  Object[][] places() {
    return new Object[][] {{0}, {1}, {5}, {UpstreamStandin.eventText("request-1", 0).length()}};
  }

  @Test(dataProvider = "places")
  public void testStreamOfCrashedUpstreamContinuesElsewhere(int bytes) throws IOException {
    Http.Response response = responseAtCrash(bytes, cluster.streamRequest(0, "session"));
    assertEquals(response.status(), 200);
    assertEquals(response.body(), UndelimitedUpstream.stream(cluster.lastId(), 0));
  }

  @Test
  public void testPlainResponseOfCrashedUpstreamIsRepeated() throws IOException {
    Http.Response response = responseAtCrash(4, cluster.request(0, SampleObjects.REPEATABLE + "x"));
    assertEquals(response.status(), 200);
    assertEquals(response.body(), "answer to " + cluster.lastId());
  }

  /** The caller's connection is kept, though the one to the upstream ends with the response. */
  @Test
  public void testCallerReceivesDelimitedResponsesOnOneConnection() throws IOException {
    try (Socket socket = new Socket("127.0.0.1", cluster.callerPort(0))) {
      socket.setSoTimeout(5000);
      for (int number = 1; number <= 3; number++) {
        String plain = exchange(socket, "plain-" + number, "");
        assertTrue(plain.contains("answer to plain-" + number), plain);
        String prompt =
            "Model: *\r\nToken-Usage: 100,50\r\nPrefix-Hash: a1:60,c" + number + ":40\r\n";
        String stream = exchange(socket, "stream-" + number, prompt);
        assertTrue(
            stream.contains("stream-" + number + "-" + (UndelimitedUpstream.EVENTS - 1)), stream);
      }
    }
  }

  private static String exchange(Socket socket, String id, String headers) throws IOException {
    String path = headers.isEmpty() ? SampleObjects.REPEATABLE : SampleObjects.STREAM;
    String request =
        ("GET " + path + "x HTTP/1.1\r\nHost: 127.0.0.1\r\n")
            + ("Attempt-Id: " + id + "\r\nRequest-Deadline: 5000\r\n")
            + ("Authorization: Bearer " + SampleObjects.KEY + "\r\n" + headers + "\r\n");
    OutputStream output = socket.getOutputStream();
    output.write(request.getBytes(StandardCharsets.US_ASCII));
    String end = headers.isEmpty() ? "answer to " + id : "\r\n0\r\n\r\n";
    StringBuilder text = new StringBuilder();
    byte[] buffer = new byte[8192];
    while (text.indexOf(end) < 0) {
      int length = socket.getInputStream().read(buffer);
      assertTrue(length > 0, "the connection was closed after: " + text);
      text.append(new String(buffer, 0, length, StandardCharsets.UTF_8));
    }
    return text.toString();
  }
}
