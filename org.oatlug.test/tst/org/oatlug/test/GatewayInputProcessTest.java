// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import org.oatlug.adapter.standin.SampleObjects;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Shows with a process what becomes of requests that break the protocol or the limits. */
public class GatewayInputProcessTest {
  private static final String LINE = "POST " + SampleObjects.ONCE + "x HTTP/1.1\r\n";
  private static final String HOST = "Host: 127.0.0.1\r\n";
  private static final String ID = "Attempt-Id: raw-1\r\n";
  private static final String KEY = "Authorization: Bearer " + SampleObjects.KEY + "\r\n";
  private static final String SECOND =
      "GET " + SampleObjects.REPEATABLE + "s HTTP/1.1\r\n" + HOST + "Attempt-Id: raw-2\r\n" + KEY;

  private GatewayCluster cluster;

  @BeforeClass
  void start() throws IOException {
    cluster = GatewayCluster.start(1, 1);
  }

  @AfterClass(alwaysRun = true)
  void stop() {
    cluster.close();
  }

  @DataProvider
  Object[][] requests() {
    String long1 = "X-Long: " + "x".repeat(5000) + "\r\n";
    return new Object[][] {
      {"no key", LINE + HOST + ID + "Content-Length: 0\r\n\r\n", 401},
      {
        "unknown key",
        LINE + HOST + ID + "Authorization: Bearer no\r\nContent-Length: 0\r\n\r\n",
        401
      },
      {"unknown path", "GET /no/ HTTP/1.1\r\n" + HOST + ID + KEY + "\r\n", 404},
      {"unknown host", "GET /status/ HTTP/1.1\r\nHost: no\r\n" + ID + KEY + "\r\n", 404},
      {"two hosts", LINE + HOST + "Host: other\r\n" + ID + KEY + "Content-Length: 0\r\n\r\n", 400},
      {
        "two ids",
        LINE + HOST + ID + "Attempt-Id: raw-9\r\n" + KEY + "Content-Length: 0\r\n\r\n",
        400
      },
      {
        "two lengths",
        LINE + HOST + ID + KEY + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        400
      },
      {"negative length", LINE + HOST + ID + KEY + "Content-Length: -1\r\n\r\n", 400},
      {
        "length and chunks",
        LINE
            + HOST
            + ID
            + KEY
            + "Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            + SECOND
            + "\r\n",
        400
      },
      {"no number as deadline", LINE + HOST + ID + KEY + "Request-Deadline: soon\r\n\r\n", 400},
      {
        "negative tokens",
        LINE + HOST + ID + KEY + "Token-Usage: -5000,1\r\nContent-Length: 0\r\n\r\n",
        400
      },
      {
        "tokens beyond any number",
        LINE + HOST + ID + KEY + "Token-Usage: 5000000000,1\r\nContent-Length: 0\r\n\r\n",
        400
      },
      {"negative deadline", LINE + HOST + ID + KEY + "Request-Deadline: -1\r\n\r\n", 400},
      {"long head", LINE + HOST + ID + KEY + long1 + "Content-Length: 0\r\n\r\n", 431},
      {"long body", LINE + HOST + ID + KEY + "Content-Length: 70000\r\n\r\nx", 413},
      {"no request", "nonsense\r\n\r\n", 400},
      {"half a head", LINE + HOST + "Attempt-", 408},
      {"half a body", LINE + HOST + ID + KEY + "Content-Length: 10\r\n\r\nabc", 0},
    };
  }

  @Test(dataProvider = "requests")
  public void testBadRequestIsRefusedAndNotPassedOn(String name, String text, int status)
      throws IOException {
    int before = cluster.arrivals();
    String answer = send(text);
    if (status > 0) {
      assertTrue(answer.matches("(?s)HTTP/1\\.[01] " + status + " .*"), name + ": " + answer);
      int answers = answer.split("HTTP/1\\.[01] ").length - 1;
      assertEquals(answers, 1, name + ": " + answer);
    }
    assertEquals(cluster.arrivals(), before, name);
    assertEquals(Http.send(cluster.request(0, SampleObjects.ONCE + "good")).status(), 200, name);
  }

  /** Sends the bytes, closes the sending side and returns what comes back until the end. */
  private String send(String text) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", cluster.callerPort(0))) {
      socket.setSoTimeout(1500);
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
      return read(socket.getInputStream());
    }
  }

  private static String read(InputStream stream) {
    StringBuilder read = new StringBuilder();
    byte[] bytes = new byte[4096];
    try {
      for (int count = stream.read(bytes); count > 0; count = stream.read(bytes)) {
        read.append(new String(bytes, 0, count, StandardCharsets.ISO_8859_1));
      }
    } catch (SocketTimeoutException e) {
      return read.toString();
    } catch (IOException e) {
      return read + " " + e.getMessage();
    }
    return read.toString();
  }
}
