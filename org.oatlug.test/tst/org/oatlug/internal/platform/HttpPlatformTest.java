// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import org.oatlug.api.ObjectKey;
import org.oatlug.config.Settings;
import org.oatlug.errors.ConflictException;
import org.oatlug.errors.PlatformUnavailableException;
import org.oatlug.internal.util.Json;
import org.oatlug.platform.StoreRevision;
import org.oatlug.test.Ports;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that the client of the object API distinguishes the epochs of a restored store. */
public class HttpPlatformTest {
  private static final ObjectKey KEY = ObjectKey.valueOf("version", "small-v1");

  private Vertx vertx;
  private HttpPlatform platform;
  private long epoch;
  private int writes;

  @BeforeMethod
  void start() {
    epoch = 1;
    writes = 0;
    vertx = Vertx.vertx();
    int port = Ports.free();
    vertx
        .createHttpServer()
        .requestHandler(this::answer)
        .listen(port, "127.0.0.1")
        .toCompletionStage()
        .toCompletableFuture()
        .join();
    platform = HttpPlatform.create(vertx, new Settings.Address("127.0.0.1", port));
  }

  @AfterMethod(alwaysRun = true)
  void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private synchronized void answer(HttpServerRequest request) {
    writes += request.method().name().equals("PUT") ? 1 : 0;
    request
        .response()
        .putHeader("Store-Epoch", Long.toString(epoch))
        .end("{\"version\":7,\"value\":{}}");
  }

  private synchronized void restore() {
    epoch++;
  }

  private static <T> T get(Uni<T> call) {
    return call.await().atMost(Duration.ofSeconds(10));
  }

  private Throwable failureOfPut(StoreRevision expected) {
    Uni<StoreRevision> put = platform.put(KEY, expected, Json.STRICT.createObjectNode());
    return expectThrows(CompletionException.class, () -> put.subscribeAsCompletionStage().join())
        .getCause();
  }

  /**
   * The first write is sent because the client does not know the new epoch yet, but it does not
   * count as done; the second is not sent.
   */
  @Test
  public void testWriteExpectingRevisionOfEarlierEpochFails() {
    StoreRevision known = get(platform.get(KEY)).orElseThrow().revision();
    assertEquals(known, new StoreRevision(1, 7));
    restore();
    assertTrue(failureOfPut(known) instanceof PlatformUnavailableException);
    assertEquals(writes, 1);
    assertTrue(failureOfPut(known) instanceof ConflictException);
    assertEquals(writes, 1);
  }

  @Test
  public void testObjectIsCreatedInAnyEpoch() {
    get(platform.get(KEY));
    restore();
    StoreRevision created =
        get(platform.put(KEY, StoreRevision.NONE, Json.STRICT.createObjectNode()));
    assertEquals(created, new StoreRevision(2, 7));
  }
}
