// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.oatlug.adapter.standin.SampleObjects;
import org.oatlug.test.Await;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a response without a length that counts as complete although its upstream closed
 * the connection before it had read the request.
 */
public class UnfinishedUploadTest {
  private static final Pattern ID = Pattern.compile("(?im)^Attempt-Id: *(.*?)\r?$");
  private static final String END_OF_HEAD = "\r\n\r\n";
  private static final String RESPONSE =
      "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: signed\r\nConnection: close\r\n\r\n"
          + "hello world";
  private static final String NO_CONTENT =
      "HTTP/1.1 204 No Content\r\nAttempt-Id: %s\r\nResponse-Signature: signed\r\n\r\n";
  private static final int RECEIVE_BUFFER_BYTES = 8192;
  private static final int ROUNDS = 6;

  private GatewayServerFixture server;
  private ServerSocket upstream;
  private int port;

  @BeforeMethod
  void start() throws Exception {
    server = new GatewayServerFixture();
    upstream = new ServerSocket();
    upstream.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    upstream.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    server.addAddress("i-1", upstream.getLocalPort());
    port = server.listen();
  }

  @AfterMethod(alwaysRun = true)
  void stop() throws IOException {
    upstream.close();
    server.close();
  }

  /** Bytes of the upload, and milliseconds until the upstream closes. */
  @DataProvider
  Object[][] uploads() {
    return new Object[][] {
      {300_000, 0}, {300_000, 3}, {300_000, 40}, {3_000_000, 0}, {3_000_000, 3}, {3_000_000, 40}
    };
  }

  @Test(dataProvider = "uploads")
  public void testResponseBeforeUnreadUploadIsNotComplete(int bytes, int pauseMillis)
      throws Exception {
    checkUnread(bytes, pauseMillis);
  }

  /** The upload is in the buffers of the sockets when the connection ends. */
  @Test
  public void testResponseBeforeUnreadSmallUploadIsNotComplete() throws Exception {
    checkUnread(60_000, 3);
  }

  private void checkUnread(int bytes, int pauseMillis) throws Exception {
    for (int round = 0; round < ROUNDS; round++) {
      Thread serving = serveInBackground(false, pauseMillis);
      String received = upload(bytes, "request-" + round);
      serving.join();
      assertFalse(isWholeSuccess(received), "round " + round + ": " + received);
    }
  }

  @Test
  public void testResponseAfterReadUploadIsComplete() throws Exception {
    for (int bytes : new int[] {1, 300_000, 3_000_000}) {
      Thread serving = serveInBackground(true, 0);
      assertEquals(isWholeSuccess(upload(bytes, "request-" + bytes)), true, bytes + " bytes");
      serving.join();
    }
  }

  /** Guards against an early response without a body that is taken for one that was cut. */
  @Test
  public void testEarlyResponseWithoutBodyIsComplete() throws Exception {
    Thread serving = serveInBackground(NO_CONTENT, false, 300);
    String received = upload(3_000_000, "request-1");
    serving.join();
    assertTrue(received.startsWith("HTTP/1.1 204 "), received);
  }

  private Thread serveInBackground(boolean readsUpload, int pauseMillis) {
    return serveInBackground(RESPONSE, readsUpload, pauseMillis);
  }

  private Thread serveInBackground(String response, boolean readsUpload, int pauseMillis) {
    Thread thread = new Thread(() -> serve(response, readsUpload, pauseMillis));
    thread.start();
    return thread;
  }

  /** Serves one request; connections without one are probes. */
  private void serve(String response, boolean readsUpload, int pauseMillis) {
    boolean served = false;
    while (!served) {
      try (Socket socket = upstream.accept()) {
        String head = readHead(socket.getInputStream());
        Matcher id = ID.matcher(head);
        if (id.find()) {
          served = true;
          if (readsUpload) {
            socket.getInputStream().readNBytes(lengthOf(head));
          }
          socket.getOutputStream().write(response.formatted(id.group(1)).getBytes());
          Await.pause(pauseMillis);
        }
      } catch (IOException e) {
        served |= upstream.isClosed();
      }
    }
  }

  private static int lengthOf(String head) {
    Matcher length = Pattern.compile("(?im)^Content-Length: *(\\d+)\r?$").matcher(head);
    return length.find() ? Integer.parseInt(length.group(1)) : 0;
  }

  private static String readHead(InputStream input) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf(END_OF_HEAD) < 0) {
      int next = input.read();
      if (next < 0) {
        return "";
      }
      head.append((char) next);
    }
    return head.toString();
  }

  private String upload(int bytes, String id) throws IOException {
    try (Socket caller = new Socket(GatewayServerFixture.HOST, port)) {
      caller.setSoTimeout(20_000);
      String head =
          "POST %s1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nConnection: close\r\n"
                  .formatted(SampleObjects.ONCE, GatewayServerFixture.HOST, id)
              + "Content-Length: %d\r\n\r\n".formatted(bytes);
      caller.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      caller.getOutputStream().write(new byte[bytes]);
      return new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    } catch (SocketException e) {
      return "reset: " + e.getMessage();
    }
  }

  /** Returns whether a caller takes these bytes for a whole successful response. */
  private static boolean isWholeSuccess(String received) {
    return received.startsWith("HTTP/1.1 200 ")
        && received.contains("hello world")
        && (!received.toLowerCase().contains("transfer-encoding: chunked")
            || received.endsWith("0" + END_OF_HEAD));
  }
}
