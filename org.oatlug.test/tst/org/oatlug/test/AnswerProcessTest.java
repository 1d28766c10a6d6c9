// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against responses that are truncated or belong to another request, and against refusals
 * that say "not run" although an upstream did execute the request. Such failures come about when an
 * upstream breaks the connection, does not respond or responds to another request, and when callers
 * read slowly, disconnect or send invalid input.
 */
public class AnswerProcessTest {
  private TestCluster cluster;

  /** Starts the cluster. */
  @BeforeClass
  public void start() throws IOException {
    cluster = TestCluster.start(2, 2, 2);
  }

  /** Stops the cluster. */
  @AfterClass(alwaysRun = true)
  public void stop() throws IOException {
    cluster.close();
  }

  /** Clears all faults and waits until a chat and an order succeed again. */
  @AfterMethod(alwaysRun = true)
  public void clearFaults() throws IOException {
    setEngineFaults("{}");
    setServiceFaults("{}");
    Await.until(
        "chats succeed again",
        () -> Http.send(cluster.chatRequest(0, "small", false, 1)).status() == 200);
    Await.until(
        "orders succeed again",
        () -> Http.send(cluster.orderRequest(0, "mend-" + System.nanoTime())).status() == 200);
  }

  private void setEngineFaults(String json) throws IOException {
    for (int port : cluster.enginePorts) {
      cluster.setFaults(port, json);
    }
  }

  private void setServiceFaults(String json) throws IOException {
    for (int port : cluster.servicePorts) {
      cluster.setFaults(port, json);
    }
  }

  /** Returns engine faults and, for each, whether the request may have run. */
  @DataProvider
  public Object[][] engineFaultTable() {
    return new Object[][] {
      {"{\"refuse\":-1}", false},
      {"{\"fail\":-1}", true},
      {"{\"cutAfter\":2}", true},
      {"{\"wrongRequest\":-1}", true},
      {"{\"hang\":-1}", true},
    };
  }

  /** Whatever the fault, "not run: yes" means that no engine has a record of the request. */
  @Test(dataProvider = "engineFaultTable")
  public void testNotRunIsTrueForChats(String faults, boolean mayHaveRun) throws IOException {
    setEngineFaults(faults);
    Http.Response answer =
        Http.send(cluster.chatRequest(0, "small", false, 4).header("Oatlug-Deadline-Ms", "3000"));
    assertFalse(answer.status() == 200, answer.body());
    String id = answer.json().path("requestId").asText();
    boolean recorded =
        cluster.records().stream()
            .anyMatch(engineRecord -> engineRecord.path("requestId").asText().equals(id));
    assertEquals(recorded, mayHaveRun, answer.body());
    assertEquals(answer.notRun(), mayHaveRun ? "unknown" : "yes", answer.body());
  }

  /** Returns service faults and, for each, whether the order may have run. */
  @DataProvider
  public Object[][] serviceFaultTable() {
    return new Object[][] {
      {"{\"refuse\":-1}", false}, {"{\"cutAfterRun\":-1}", true}, {"{\"hang\":-1}", true},
    };
  }

  /** The same holds for orders, which are also never run twice. */
  @Test(dataProvider = "serviceFaultTable")
  public void testNotRunIsTrueForOrders(String faults, boolean mayHaveRun) throws IOException {
    String key = "fault-" + faults;
    setServiceFaults(faults);
    Http.Response answer = Http.send(cluster.orderRequest(1, key));
    assertFalse(answer.status() == 200, answer.body());
    assertEquals(answer.notRun(), mayHaveRun ? "unknown" : "yes", answer.body());
    assertEquals(cluster.runs().getOrDefault(key, 0), Integer.valueOf(mayHaveRun ? 1 : 0));
  }

  /** An interrupted stream ends with a typed error event, never as if it were complete. */
  @Test
  public void testCutStreamEndsWithTypedEvent() throws IOException {
    setEngineFaults("{\"cutAfter\":3}");
    Http.Response answer = Http.send(cluster.chatRequest(0, "small", true, 10));
    assertTrue(answer.body().contains("event: error"), answer.body());
    assertTrue(answer.body().contains("\"reason\":\"upstream-failed\""), answer.body());
    assertFalse(answer.body().contains("[DONE]"), answer.body());
    assertEquals(
        answer.body().split("\"content\":\"t1 \"", -1).length, 2, "the stream was started twice");
  }

  /** A response that carries the id of another request is not forwarded to the caller. */
  @Test
  public void testAnswerOfAnotherRequestIsNotPassedOn() throws IOException {
    cluster.setFaults(cluster.enginePorts.get(0), "{\"wrongRequest\":-1}");
    for (int number = 0; number < 10; number++) {
      Http.Response answer = Http.send(cluster.chatRequest(0, "small", false, 2));
      assertEquals(answer.status(), 200, answer.body());
      assertEquals(answer.json().path("id").asText(), answer.header("Oatlug-Request-Id"));
    }
  }

  /** Concurrent callers each get their own complete response. */
  @Test
  public void testManyCallersEachGetTheirOwnAnswer() {
    List<CompletableFuture<Http.Response>> answers = new ArrayList<>();
    for (int number = 0; number < 60; number++) {
      boolean stream = number % 2 == 0;
      answers.add(Http.sendAsync(cluster.chatRequest(number % 2, "small", stream, number + 1)));
    }
    for (int number = 0; number < answers.size(); number++) {
      Http.Response answer = answers.get(number).join();
      String id = answer.header("Oatlug-Request-Id");
      assertTrue(answer.body().contains("t" + (number + 1) + " "), answer.body());
      assertFalse(answer.body().contains("t" + (number + 2) + " "), answer.body());
      if (number % 2 == 0) {
        assertEquals(answer.body().split(id, -1).length - 1, number + 1);
        assertTrue(answer.body().endsWith("data: [DONE]\n\n"), answer.body());
      }
    }
  }

  /** A caller that reads slowly gets its complete response. */
  @Test
  public void testSlowCallerGetsWholeAnswer() throws IOException {
    String body =
        "{\"model\":\"small\",\"stream\":true,\"max_tokens\":300,"
            + "\"messages\":[{\"role\":\"user\",\"content\":\"long\"}]}";
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(4096);
      socket.connect(new java.net.InetSocketAddress("127.0.0.1", cluster.callerPort(0)));
      String head =
          "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
              + TestCluster.KEY
              + "\r\nConnection: close\r\nContent-Length: "
              + body.length()
              + "\r\n\r\n";
      socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
      StringBuilder text = new StringBuilder();
      InputStream in = socket.getInputStream();
      byte[] buffer = new byte[512];
      for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
        text.append(new String(buffer, 0, read, StandardCharsets.UTF_8));
        Await.pause(5);
      }
      assertTrue(text.toString().contains("t300 "), "the last token is missing");
      assertTrue(text.toString().contains("[DONE]"), "the closing event is missing");
    }
  }

  /** A caller that disconnects frees its slot at the engine. */
  @Test
  public void testDisconnectedCallerIsCancelledAtTheEngine() throws IOException {
    long before = cancelledCount();
    String body =
        "{\"model\":\"small\",\"stream\":true,\"max_tokens\":2000,"
            + "\"messages\":[{\"role\":\"user\",\"content\":\"long\"}]}";
    String head =
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
            + TestCluster.KEY
            + "\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n";
    try (Socket socket = new Socket("127.0.0.1", cluster.callerPort(0))) {
      socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
      assertTrue(socket.getInputStream().read() >= 0);
    }
    Await.until("the request is cancelled at the engine", () -> cancelledCount() == before + 1);
  }

  private long cancelledCount() throws IOException {
    return cluster.records().stream()
        .filter(record -> record.path("end").asText().equals("cancelled"))
        .count();
  }

  /** A workspace sees only the models and cascades that its policy allows. */
  @Test
  public void testModelsAreThoseTheWorkspaceMayUse() throws IOException {
    assertEquals(modelsOf(TestCluster.KEY), List.of("large", "small", "both"));
    assertEquals(modelsOf("key-of-the-narrow"), List.of("small", "both"));
  }

  private List<String> modelsOf(String key) throws IOException {
    Http.Response answer =
        Http.send(
            Http.to(cluster.callerPort(0), "/v1/models").header("Authorization", "Bearer " + key));
    List<String> names = new ArrayList<>();
    answer.json().path("data").forEach(model -> names.add(model.path("id").asText()));
    return names;
  }

  /** Returns invalid requests and the expected reason of each refusal. */
  @DataProvider
  public Object[][] badRequestTable() {
    String validBody = "{\"model\":\"small\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
    String key = "Bearer " + TestCluster.KEY;
    return new Object[][] {
      {"/v1/chat/completions", "", validBody, "key-missing"},
      {"/v1/chat/completions", "Bearer wrong", validBody, "key-unknown"},
      {"/v1/chat/completions", key, "{", "body-invalid"},
      {"/v1/chat/completions", key, "[]", "body-invalid"},
      {"/v1/chat/completions", key, "{\"model\":1,\"messages\":[]}", "body-invalid"},
      {"/v1/chat/completions", key, "{\"model\":\"small\",\"messages\":[]}", "body-invalid"},
      {"/v1/chat/completions", key, validBody.replace("small", "none"), "model-unknown"},
      {"/v1/chat/completions", key, validBody + " ".repeat(70_000), "body-too-large"},
      {
        "/v1/chat/completions",
        "Bearer key-of-the-narrow",
        validBody.replace("small", "large"),
        "not-allowed"
      },
      {"/v1/services/none/x", key, "", "route-unknown"},
      {"/v1/services/parts/none", key, "", "route-unknown"},
      {"/v1/none", key, "", "route-unknown"},
    };
  }

  /** Invalid input gets a typed refusal, and the process keeps running. */
  @Test(dataProvider = "badRequestTable")
  public void testInvalidRequestGetsTypedRefusal(
      String path, String key, String body, String reason) throws IOException {
    HttpRequest.Builder request =
        Http.to(cluster.callerPort(0), path).POST(HttpRequest.BodyPublishers.ofString(body));
    if (!key.isEmpty()) {
      request.header("Authorization", key);
    }
    Http.Response answer = Http.send(request);
    assertEquals(answer.header("Content-Type"), "application/problem+json", answer.body());
    assertEquals(answer.reason(), reason, answer.body());
    assertEquals(answer.notRun(), "yes");
    assertFalse(answer.body().contains("Exception"), answer.body());
    assertTrue(cluster.entry(0).isAlive());
  }

  /** Invalid headers get a typed refusal. */
  @Test
  public void testInvalidHeadersGetTypedRefusal() throws IOException {
    Http.Response deadline =
        Http.send(cluster.chatRequest(0, "small", false, 1).header("Oatlug-Deadline-Ms", "soon"));
    assertEquals(deadline.reason(), "header-invalid", deadline.body());
    Http.Response session =
        Http.send(cluster.chatRequest(0, "small", false, 1).header("Oatlug-Session", "k1.a.b"));
    assertEquals(session.reason(), "session-invalid", session.body());
  }

  /** A malformed, oversized or unauthenticated frame closes its connection and nothing else. */
  @Test
  public void testMalformedPeerFramesCloseOnlyTheirConnection() throws IOException {
    byte[][] frames = {
      ByteBuffer.allocate(8).putInt(4).putInt(-1).array(),
      ByteBuffer.allocate(4).putInt(Integer.MAX_VALUE).array(),
      ByteBuffer.allocate(4).putInt(-5).array(),
      "GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.UTF_8),
    };
    for (byte[] frame : frames) {
      try (Socket socket = new Socket("127.0.0.1", cluster.peerPort(0))) {
        socket.setSoTimeout(20_000);
        socket.getOutputStream().write(frame);
        InputStream in = socket.getInputStream();
        byte[] buffer = new byte[1024];
        int read = in.read(buffer);
        while (read >= 0) {
          read = in.read(buffer);
        }
      } catch (java.net.SocketException e) {
        assertTrue(cluster.entry(0).isAlive(), e.getMessage());
      }
    }
    JsonNode status = Http.get(cluster.operatorPort(0), "/status").json();
    assertTrue(status.path("ready").asBoolean(), status.toString());
  }
}
