// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.PemTrustOptions;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import java.io.IOException;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests that callers and peers use TLS when the settings name certificate and key files. */
public class TlsProcessTest {
  private static final String BODY =
      "{\"model\":\"small\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
  private TestCluster cluster;

  /** Starts the cluster. */
  @BeforeClass
  public void start() throws IOException {
    cluster = TestCluster.startWithTls(2, 1, 1);
  }

  /** Stops the cluster. */
  @AfterClass(alwaysRun = true)
  public void stop() throws IOException {
    if (cluster != null) {
      cluster.close();
    }
  }

  /** A caller that trusts the certificate is served; a caller without TLS is not. */
  @Test
  public void testCallersSpeakTls() {
    Vertx vertx = Vertx.vertx();
    WebClientOptions options =
        new WebClientOptions()
            .setSsl(true)
            .setTrustOptions(
                new PemTrustOptions().addCertPath(cluster.certificate().certificate().toString()));
    HttpResponse<Buffer> answer =
        WebClient.create(vertx, options)
            .post(cluster.callerPort(0), "127.0.0.1", "/v1/chat/completions")
            .putHeader("Authorization", "Bearer " + TestCluster.KEY)
            .sendBuffer(Buffer.buffer(BODY))
            .toCompletionStage()
            .toCompletableFuture()
            .join();
    assertEquals(answer.statusCode(), 200, answer.bodyAsString());
    vertx.close().toCompletionStage().toCompletableFuture().join();
    assertThrows(IOException.class, () -> Http.send(cluster.chatRequest(0, "small", false, 1)));
  }

  /** Peers discover each other and agree on the configuration over TLS. */
  @Test
  public void testPeersSpeakTls() {
    Await.until("the peers agree on the revision", () -> hasSameRevision(0) && hasSameRevision(1));
  }

  private boolean hasSameRevision(int index) throws IOException {
    JsonNode answer =
        Http.get(cluster.operatorPort(index), "/in-force?kind=version&name=small-v1").json();
    JsonNode revisions = answer.path("instances");
    assertTrue(revisions.isObject(), answer.toString());
    long revision = revisions.path(TestCluster.nameOf(0)).path("number").asLong();
    return revision > 0
        && revision == revisions.path(TestCluster.nameOf(1)).path("number").asLong();
  }
}
