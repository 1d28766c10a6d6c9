// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.adapter;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionException;
import org.oatlug.adapter.standin.RawUpstream;
import org.oatlug.errors.PlatformUnavailableException;
import org.oatlug.gateway.GatewayKinds;
import org.oatlug.gateway.GatewaySettings;
import org.oatlug.platform.Platform;
import org.oatlug.platform.StoreRevision;
import org.oatlug.test.Ports;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a list or watch that ends in the middle of its head or body and counts as one
 * without objects.
 */
public class CutStoreResponseTest {
  private static final String HOST = "127.0.0.1";
  private static final List<String> KINDS = List.of(GatewayKinds.EVACUATION);
  private static final String ITEM = "{\"metadata\":{\"name\":\"n\",\"revision\":3},\"spec\":{}}";

  private Vertx vertx;
  private RawUpstream store;
  private Platform platform;

  @BeforeMethod
  void start() {
    vertx = Vertx.vertx();
    store = RawUpstream.create(vertx);
    int port = Ports.free();
    store.listen(HOST, port).toCompletionStage().toCompletableFuture().join();
    platform = StoreClient.create(vertx, new GatewaySettings.Endpoint(HOST, port));
  }

  @AfterMethod(alwaysRun = true)
  void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  @DataProvider
  Object[][] responses() {
    String list = "{\"as-of\":3,\"items\":[" + ITEM + "]}";
    String watch = "{\"as-of\":3,\"events\":[{\"object\":" + ITEM + ",\"deleted\":false}]}";
    return new Object[][] {
      {withLength(list), false}, {chunked(list), false}, {withLength(watch), true}
    };
  }

  private static String withLength(String body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  private static String chunked(String body) {
    String chunk = Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0\r\n\r\n";
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk;
  }

  @Test(dataProvider = "responses")
  public void testCutResponseFailsTheCall(String response, boolean isWatch) {
    store.respondWith(id -> response, "", true);
    assertEquals(read(isWatch).objects().size(), 1);
    for (int length = 0; length < response.length(); length++) {
      String cut = response.substring(0, length);
      store.respondWith(id -> cut, "", true);
      CompletionException failure = expectThrows(CompletionException.class, () -> read(isWatch));
      assertEquals(failure.getCause().getClass(), PlatformUnavailableException.class, cut);
    }
  }

  private Platform.Batch read(boolean isWatch) {
    return (isWatch
            ? platform.watch(KINDS, StoreRevision.ofNumber(1), Duration.ofMillis(10))
            : platform.list(KINDS))
        .subscribeAsCompletionStage()
        .join();
  }
}
