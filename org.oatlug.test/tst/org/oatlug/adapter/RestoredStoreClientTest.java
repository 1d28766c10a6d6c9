// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.adapter;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.oatlug.adapter.standin.SampleObjects;
import org.oatlug.adapter.standin.StoreStandin;
import org.oatlug.api.ObjectKey;
import org.oatlug.errors.ConflictException;
import org.oatlug.errors.EarlierEpochException;
import org.oatlug.gateway.GatewayKinds;
import org.oatlug.gateway.GatewaySettings;
import org.oatlug.gateway.ServiceRollout;
import org.oatlug.internal.util.Json;
import org.oatlug.platform.Platform;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;
import org.oatlug.test.Await;
import org.oatlug.test.Ports;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests which responses are accepted, and which writes are sent, after the store was restored from
 * a copy.
 *
 * <p>A restored store goes back to earlier revision numbers under a new epoch. Guards against
 * responses and conditions of writes from an earlier epoch being used in the new one.
 */
public class RestoredStoreClientTest {
  private static final String HOST = "127.0.0.1";
  private static final List<String> ROUTING = List.of(GatewayKinds.ROUTING);
  private static final List<String> UPSTREAM = List.of(GatewayKinds.UPSTREAM);
  private static final ObjectKey ROLLOUT =
      ObjectKey.valueOf(GatewayKinds.ROLLOUT, SampleObjects.SERVICE);

  private Vertx vertx;
  private StoreStandin store;
  private StoreClient client;

  @BeforeMethod
  void start() {
    vertx = Vertx.vertx();
    store = StoreStandin.create(vertx);
    int port = Ports.free();
    store.listen(HOST, port).toCompletionStage().toCompletableFuture().join();
    client = StoreClient.create(vertx, new GatewaySettings.Endpoint(HOST, port));
  }

  @AfterMethod(alwaysRun = true)
  void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private static <T> T awaitItem(Uni<T> call) {
    return call.await().atMost(Duration.ofSeconds(10));
  }

  private static void assertDiscarded(CompletableFuture<?> call) {
    CompletionException failure = expectThrows(CompletionException.class, call::join);
    Throwable cause = failure.getCause().getCause();
    assertTrue(cause instanceof EarlierEpochException, String.valueOf(cause));
  }

  private void register(String name, int sequence) {
    store.put(
        "servers", name, SampleObjects.upstream("pool", HOST, 1, "v1").put("sequence", sequence));
  }

  @Test
  public void testRevisionsCarryTheEpochOfTheResponse() {
    register("i-1", 1);
    StoreStandin.Copy copy = store.copy();
    assertEquals(awaitItem(client.list(UPSTREAM)).revision(), new StoreRevision(1, 1));
    store.restore(copy);
    Platform.Batch after = awaitItem(client.list(UPSTREAM));
    assertEquals(after.revision(), new StoreRevision(2, 1));
    assertEquals(after.objects().get(0).revision(), new StoreRevision(2, 1));
  }

  @Test
  public void testDelayedResponseFromBeforeTheRestoreIsDiscarded() {
    register("i-1", 1);
    final StoreStandin.Copy copy = store.copy();
    register("i-1", 2);
    store.delayResponses("servers");
    final CompletableFuture<Platform.Batch> delayed =
        client.list(UPSTREAM).subscribeAsCompletionStage();
    Await.until("the response is delayed", () -> store.delayedResponses() == 1);
    store.restore(copy);
    awaitItem(client.list(ROUTING));
    store.releaseResponses();
    assertDiscarded(delayed);
  }

  @Test
  public void testListWithPagesOfTwoEpochsIsDiscarded() {
    for (int number = 1; number <= 5; number++) {
      register("i-" + number, 1);
    }
    StoreStandin.Copy copy = store.copy();
    store.setPageSize(2);
    store.afterNextPage(() -> store.restore(copy));
    assertDiscarded(client.list(UPSTREAM).subscribeAsCompletionStage());
    assertEquals(awaitItem(client.list(UPSTREAM)).objects().size(), 5);
  }

  @Test
  public void testWatchFromLostRevisionFailsAndUpdatesTheEpoch() {
    StoreStandin.Copy copy = store.copy();
    register("i-1", 1);
    StoreRevision lostRevision = awaitItem(client.list(UPSTREAM)).revision();
    store.restore(copy);
    CompletableFuture<Platform.Batch> watch =
        client.watch(UPSTREAM, lostRevision, Duration.ofSeconds(1)).subscribeAsCompletionStage();
    expectThrows(CompletionException.class, watch::join);
    assertEquals(client.epoch().newest(), 2);
  }

  private static ServiceRollout running(StoredObject storedRollout) throws Exception {
    ServiceRollout decoded = Json.STRICT.treeToValue(storedRollout.value(), ServiceRollout.class);
    ServiceRollout.State state = ServiceRollout.State.RUNNING;
    return decoded.withProgress(new ServiceRollout.Progress(state, "v2", 1));
  }

  @Test
  public void testWritePreparedBeforeTheRestoreIsNotSent() throws Exception {
    store.put("rollouts", SampleObjects.SERVICE, SampleObjects.rollout("v2", 10));
    StoreStandin.Copy copy = store.copy();
    StoredObject storedRollout = awaitItem(client.get(ROLLOUT)).orElseThrow();
    store.restore(copy);
    awaitItem(client.list(ROUTING));
    CompletableFuture<StoreRevision> write =
        client
            .put(ROLLOUT, storedRollout.revision(), Json.STRICT.valueToTree(running(storedRollout)))
            .subscribeAsCompletionStage();
    CompletionException failure = expectThrows(CompletionException.class, write::join);
    assertTrue(failure.getCause() instanceof ConflictException);
    assertEquals(store.writes(), 0);
  }

  @Test
  public void testResponseToWriteThatMatchedInAnotherEpochIsDiscarded() throws Exception {
    store.put("rollouts", SampleObjects.SERVICE, SampleObjects.rollout("v2", 10));
    StoreStandin.Copy copy = store.copy();
    StoredObject storedRollout = awaitItem(client.get(ROLLOUT)).orElseThrow();
    store.restore(copy);
    assertDiscarded(
        client
            .put(ROLLOUT, storedRollout.revision(), Json.STRICT.valueToTree(running(storedRollout)))
            .subscribeAsCompletionStage());
  }

  @Test
  public void testStoreWithMissingOrInvalidEpochIsRead() {
    register("i-1", 1);
    for (String invalid : List.of("", "x", "-3", "99999999999999999999")) {
      store.setEpochText(invalid);
      assertEquals(awaitItem(client.list(UPSTREAM)).revision(), StoreRevision.ofNumber(1));
    }
    assertEquals(Optional.of(client.epoch().newest()), Optional.of(0L));
  }
}
