// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.oatlug.adapter.standin.RawUpstream;
import org.oatlug.adapter.standin.SampleObjects;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a response that ends in the middle of its head, or before the end of its framed
 * body, and reaches the caller as a whole one with an empty or short body.
 */
public class CutResponseTest {
  private static final Pattern LENGTH = Pattern.compile("(?im)^Content-Length: *(\\d+)\r?$");
  private static final Pattern CHUNKED = Pattern.compile("(?im)^Transfer-Encoding: *chunked\r?$");
  private static final String END_OF_HEAD = "\r\n\r\n";
  private static final String LAST_CHUNK = "0\r\n\r\n";

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

  /** Returns responses without their id, and how many of their last bytes are never cut. */
  @DataProvider
  Object[][] responses() {
    String head = "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: signed\r\n";
    String chunks = "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n3\r\nend\r\n";
    return new Object[][] {
      {head + "Content-Length: 4\r\n\r\nbody", 0},
      {head + "X-Other: 1\r\nContent-Length: 0\r\n\r\n", 0},
      {head + chunks + LAST_CHUNK, 0},
      {head + chunks + "0\r\nX-Trailer: 1\r\n\r\n", 0},
      {"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + head + "Content-Length: 4\r\n\r\nbody", 0},
      {head.replace("1.1", "1.0") + "Content-Length: 4\r\n\r\nbody", 0},
      // A body without a length ends with its connection, so that only its head can be cut.
      {head + "Connection: close\r\n\r\nbody", "body".length()}
    };
  }

  @Test(dataProvider = "responses")
  public void testCutResponseNeverReachesCallerAsWhole(String response, int uncut)
      throws IOException {
    for (String path : List.of(SampleObjects.ONCE, SampleObjects.STREAM)) {
      assertTrue(isWholeSuccess(request(path, response, 0)), "the whole response is not relayed");
      int bytes = response.formatted("request-1").length();
      for (int cut = uncut + 1; cut <= bytes; cut++) {
        int arrivals = upstream.arrivals();
        String received = request(path, response, cut);
        assertTrue(upstream.arrivals() > arrivals, "the request did not reach the upstream");
        assertFalse(isWholeSuccess(received), path + ", cut by " + cut + " bytes: " + received);
        restart();
      }
    }
  }

  private void restart() {
    server.close();
    try {
      start();
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  private String request(String path, String response, int cut) throws IOException {
    upstream.respondWith(
        id -> {
          String whole = response.formatted(id);
          return whole.substring(0, whole.length() - cut);
        },
        "",
        true);
    String headers = path.equals(SampleObjects.STREAM) ? GatewayServerFixture.GENERATION : "";
    return GatewayServerFixture.request(port, path, "request-1", headers);
  }

  /** Returns whether a caller takes these bytes for a whole successful response. */
  private static boolean isWholeSuccess(String received) {
    int headEnd = received.indexOf(END_OF_HEAD);
    if (!received.startsWith("HTTP/1.1 200 ") || headEnd < 0) {
      return false;
    }
    String head = received.substring(0, headEnd);
    String body = received.substring(headEnd + END_OF_HEAD.length());
    Matcher length = LENGTH.matcher(head);
    if (length.find()) {
      return body.length() == Integer.parseInt(length.group(1));
    }
    return !CHUNKED.matcher(head).find() || body.endsWith(LAST_CHUNK);
  }

  @Test
  public void testWholeSuccessIsRecognized() {
    assertTrue(isWholeSuccess("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"));
    assertFalse(isWholeSuccess("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na"));
    assertTrue(isWholeSuccess("HTTP/1.1 200 OK\r\n\r\n"));
    assertEquals(isWholeSuccess("HTTP/1.1 502 Bad\r\nContent-Length: 0\r\n\r\n"), false);
  }
}
