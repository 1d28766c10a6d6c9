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

/**
 * Guards against requests that violate the protocol or the limits and are forwarded nevertheless,
 * or that prevent later requests from being served. One has a body of ambiguous length that hides a
 * second request (request smuggling). Runs a separate process.
 */
public class GatewayInputProcessTest {
  private static final String REQUEST_LINE = "POST " + SampleObjects.ONCE + "x HTTP/1.1\r\n";
  private static final String HOST_HEADER = "Host: 127.0.0.1\r\n";
  private static final String ID_HEADER = "Attempt-Id: raw-1\r\n";
  private static final String KEY_HEADER = "Authorization: Bearer " + SampleObjects.KEY + "\r\n";
  private static final String SECOND_REQUEST =
      "GET "
          + SampleObjects.REPEATABLE
          + "s HTTP/1.1\r\n"
          + HOST_HEADER
          + "Attempt-Id: raw-2\r\n"
          + KEY_HEADER;

  private GatewayCluster cluster;

  @BeforeClass
  void start() throws IOException {
    cluster = GatewayCluster.start(1, 1);
  }

  @AfterClass(alwaysRun = true)
  void stop() {
    cluster.close();
  }

  /**
   * Returns the name, the text and the expected status of each request; 0 if no response is
   * required.
   */
  @DataProvider
  Object[][] invalidRequests() {
    String longHeader = "X-Long: " + "x".repeat(5000) + "\r\n";
    return new Object[][] {
      {"no key", REQUEST_LINE + HOST_HEADER + ID_HEADER + "Content-Length: 0\r\n\r\n", 401},
      {
        "unknown key",
        REQUEST_LINE
            + HOST_HEADER
            + ID_HEADER
            + "Authorization: Bearer no\r\nContent-Length: 0\r\n\r\n",
        401
      },
      {
        "unknown path", "GET /no/ HTTP/1.1\r\n" + HOST_HEADER + ID_HEADER + KEY_HEADER + "\r\n", 404
      },
      {
        "unknown host",
        "GET /status/ HTTP/1.1\r\nHost: no\r\n" + ID_HEADER + KEY_HEADER + "\r\n",
        404
      },
      {
        "two hosts",
        REQUEST_LINE
            + HOST_HEADER
            + "Host: other\r\n"
            + ID_HEADER
            + KEY_HEADER
            + "Content-Length: 0\r\n\r\n",
        400
      },
      {
        "two ids",
        REQUEST_LINE
            + HOST_HEADER
            + ID_HEADER
            + "Attempt-Id: raw-9\r\n"
            + KEY_HEADER
            + "Content-Length: 0\r\n\r\n",
        400
      },
      {
        "two lengths",
        REQUEST_LINE
            + HOST_HEADER
            + ID_HEADER
            + KEY_HEADER
            + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        400
      },
      {
        "negative length",
        REQUEST_LINE + HOST_HEADER + ID_HEADER + KEY_HEADER + "Content-Length: -1\r\n\r\n",
        400
      },
      {
        "length and chunks",
        REQUEST_LINE
            + HOST_HEADER
            + ID_HEADER
            + KEY_HEADER
            + "Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            + SECOND_REQUEST
            + "\r\n",
        400
      },
      {
        "malformed deadline",
        REQUEST_LINE + HOST_HEADER + ID_HEADER + KEY_HEADER + "Request-Deadline: soon\r\n\r\n",
        400
      },
      {
        "negative tokens",
        REQUEST_LINE
            + HOST_HEADER
            + ID_HEADER
            + KEY_HEADER
            + "Token-Usage: -5000,1\r\nContent-Length: 0\r\n\r\n",
        400
      },
      {
        "tokens out of range",
        REQUEST_LINE
            + HOST_HEADER
            + ID_HEADER
            + KEY_HEADER
            + "Token-Usage: 5000000000,1\r\nContent-Length: 0\r\n\r\n",
        400
      },
      {
        "negative deadline",
        REQUEST_LINE + HOST_HEADER + ID_HEADER + KEY_HEADER + "Request-Deadline: -1\r\n\r\n",
        400
      },
      {
        "long head",
        REQUEST_LINE
            + HOST_HEADER
            + ID_HEADER
            + KEY_HEADER
            + longHeader
            + "Content-Length: 0\r\n\r\n",
        431
      },
      {
        "long body",
        REQUEST_LINE + HOST_HEADER + ID_HEADER + KEY_HEADER + "Content-Length: 70000\r\n\r\nx",
        413
      },
      {"malformed request line", "nonsense\r\n\r\n", 400},
      {"incomplete head", REQUEST_LINE + HOST_HEADER + "Attempt-", 408},
      {
        "incomplete body",
        REQUEST_LINE + HOST_HEADER + ID_HEADER + KEY_HEADER + "Content-Length: 10\r\n\r\nabc",
        0
      },
    };
  }

  @Test(dataProvider = "invalidRequests")
  public void testInvalidRequestIsRefusedAndNotForwarded(String name, String text, int status)
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

  /** The body has to arrive within the timeout of its route, 2 s. */
  @Test
  public void testBodyThatStaysIncompleteIsRefusedAsNotRun() throws IOException {
    int before = cluster.arrivals();
    String head = REQUEST_LINE + HOST_HEADER + ID_HEADER + KEY_HEADER;
    try (Socket socket = new Socket("127.0.0.1", cluster.callerPort(0))) {
      socket.setSoTimeout(30_000);
      socket
          .getOutputStream()
          .write((head + "Content-Length: 10\r\n\r\nabc").getBytes(StandardCharsets.ISO_8859_1));
      byte[] response = new byte[12];
      assertEquals(socket.getInputStream().readNBytes(response, 0, 12), 12);
      assertEquals(new String(response, StandardCharsets.ISO_8859_1), "HTTP/1.1 408");
    }
    assertEquals(cluster.arrivals(), before);
  }

  /**
   * Sends the text and returns what is received until the connection closes or the read times out.
   */
  private String send(String text) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", cluster.callerPort(0))) {
      socket.setSoTimeout(1500);
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
      return read(socket.getInputStream());
    }
  }

  private static String read(InputStream stream) {
    StringBuilder received = new StringBuilder();
    byte[] bytes = new byte[4096];
    try {
      for (int count = stream.read(bytes); count > 0; count = stream.read(bytes)) {
        received.append(new String(bytes, 0, count, StandardCharsets.ISO_8859_1));
      }
    } catch (SocketTimeoutException e) {
      return received.toString();
    } catch (IOException e) {
      return received + " " + e.getMessage();
    }
    return received.toString();
  }
}
