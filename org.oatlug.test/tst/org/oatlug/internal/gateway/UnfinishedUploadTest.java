// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

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
import java.util.ArrayList;
import java.util.List;
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
  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: signed\r\nConnection: close\r\n";
  private static final String TEXT = HEAD + "\r\nhello world";
  private static final String EVENT =
      HEAD + "Content-Type: text/event-stream\r\n\r\ndata: hello world\n\n";
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

  /** Route, bytes of the upload, milliseconds until the upstream closes, whether it resets. */
  @DataProvider
  Object[][] uploads() {
    List<Object[]> uploads = new ArrayList<>();
    for (String path : List.of(SampleObjects.ONCE, SampleObjects.STREAM)) {
      for (int bytes : new int[] {300_000, 3_000_000}) {
        for (int pauseMillis : new int[] {0, 3, 40}) {
          uploads.add(new Object[] {path, bytes, pauseMillis, false});
        }
      }
      uploads.add(new Object[] {path, 60_000, 3, true});
      uploads.add(new Object[] {path, 3_000_000, 3, true});
    }
    return uploads.toArray(Object[][]::new);
  }

  @Test(dataProvider = "uploads")
  public void testResponseBeforeUnreadUploadIsNotComplete(
      String path, int bytes, int pauseMillis, boolean resets) throws Exception {
    checkUnread(path, bytes, pauseMillis, resets);
  }

  /** The upload is in the buffers of the sockets when the connection ends. */
  @Test
  public void testResponseBeforeUnreadSmallUploadIsNotComplete() throws Exception {
    checkUnread(SampleObjects.ONCE, 60_000, 3, false);
  }

  private void checkUnread(String path, int bytes, int pauseMillis, boolean resets)
      throws Exception {
    serveInBackground(path.equals(SampleObjects.STREAM) ? EVENT : TEXT, false, pauseMillis, resets);
    for (int round = 0; round < ROUNDS; round++) {
      String received = upload(path, bytes, "request-" + round);
      assertFalse(isWholeSuccess(received), "round " + round + ": " + received);
    }
  }

  @Test
  public void testResponseAfterReadUploadIsComplete() throws Exception {
    for (String path : List.of(SampleObjects.ONCE, SampleObjects.STREAM)) {
      serveInBackground(path.equals(SampleObjects.STREAM) ? EVENT : TEXT, true, 0, false);
      for (int bytes : new int[] {0, 1, 300_000, 3_000_000}) {
        assertTrue(isWholeSuccess(upload(path, bytes, "request-" + bytes)), bytes + " bytes");
      }
      restart();
    }
  }

  /** Guards against an early response without a body that is taken for one that was cut. */
  @Test
  public void testEarlyResponseWithoutBodyIsComplete() throws Exception {
    serveInBackground(NO_CONTENT, false, 300, false);
    String received = upload(SampleObjects.ONCE, 3_000_000, "request-1");
    assertTrue(received.startsWith("HTTP/1.1 204 "), received);
  }

  private void restart() throws Exception {
    stop();
    start();
  }

  /** Serves until the upstream is closed; connections without a request are probes. */
  private void serveInBackground(
      String response, boolean readsUpload, int pauseMillis, boolean resets) {
    ServerSocket serving = upstream;
    Thread thread =
        new Thread(
            () -> {
              while (!serving.isClosed()) {
                serveOne(serving, response, readsUpload, pauseMillis, resets);
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private static void serveOne(
      ServerSocket serving, String response, boolean readsUpload, int pauseMillis, boolean resets) {
    try (Socket socket = serving.accept()) {
      String head = readHead(socket.getInputStream());
      Matcher id = ID.matcher(head);
      if (id.find()) {
        if (readsUpload) {
          socket.getInputStream().readNBytes(lengthOf(head));
        }
        socket.getOutputStream().write(response.formatted(id.group(1)).getBytes());
        Await.pause(pauseMillis);
        socket.setSoLinger(resets, 0);
      }
    } catch (IOException ended) {
      // The client or the test closed the connection.
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

  private String upload(String path, int bytes, String id) throws IOException {
    try (Socket caller = new Socket(GatewayServerFixture.HOST, port)) {
      caller.setSoTimeout(20_000);
      String head =
          "POST %s1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nConnection: close\r\n"
                  .formatted(path, GatewayServerFixture.HOST, id)
              + GatewayServerFixture.GENERATION
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
