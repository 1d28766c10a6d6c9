// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.adapter;

import static org.testng.Assert.assertTrue;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.oatlug.adapter.standin.SampleObjects;
import org.oatlug.adapter.standin.StoreStandin;
import org.oatlug.api.ObjectKey;
import org.oatlug.config.Settings;
import org.oatlug.gateway.GatewayKinds;
import org.oatlug.gateway.GatewaySettings;
import org.oatlug.internal.platform.HttpPlatform;
import org.oatlug.platform.Platform;
import org.oatlug.standin.TcpRelay;
import org.oatlug.test.Ports;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against calls on one silent connection to the store after another. */
public class SilentStoreClientTest {
  private static final String HOST = "127.0.0.1";
  private static final ObjectKey KEY = ObjectKey.valueOf(GatewayKinds.ROUTING, "main");
  private static final int POOLED_CONNECTIONS = 4;
  private static final long WAIT_SECONDS = 20;

  private Vertx vertx;
  private TcpRelay relay;
  private int relayPort;

  @BeforeMethod
  void start() throws Exception {
    vertx = Vertx.vertx();
    StoreStandin store = StoreStandin.create(vertx);
    store.put("config", "main", SampleObjects.configuration(1));
    int storePort = Ports.free();
    relayPort = Ports.free();
    await(store.listen(HOST, storePort));
    relay = TcpRelay.to(vertx, HOST, storePort);
    await(relay.listen(HOST, relayPort));
  }

  @AfterMethod(alwaysRun = true)
  void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(WAIT_SECONDS, TimeUnit.SECONDS);
  }

  /** Starts calls at the same time and returns whether each of them succeeded. */
  private <T> List<Boolean> callAtOnce(int count, Supplier<Uni<T>> call) {
    List<CompletableFuture<Boolean>> outcomes =
        IntStream.range(0, count).mapToObj(unused -> new CompletableFuture<Boolean>()).toList();
    vertx.runOnContext(
        unused ->
            outcomes.forEach(
                outcome ->
                    call.get()
                        .subscribe()
                        .with(item -> outcome.complete(true), failure -> outcome.complete(false))));
    return outcomes.stream()
        .map(outcome -> outcome.orTimeout(WAIT_SECONDS, TimeUnit.SECONDS).join())
        .toList();
  }

  private <T> void assertOneCallFailsAfterSilence(Supplier<Uni<T>> call) {
    assertTrue(callAtOnce(POOLED_CONNECTIONS, call).stream().allMatch(succeeded -> succeeded));
    relay.silenceOpenConnections();
    callAtOnce(1, call);
    assertTrue(callAtOnce(1, call).get(0), "the second call after the silence failed");
  }

  @Test
  public void testCallAfterTimeoutUsesNewConnection() {
    Platform client = StoreClient.create(vertx, new GatewaySettings.Endpoint(HOST, relayPort));
    assertOneCallFailsAfterSilence(() -> client.get(KEY));
  }

  @Test
  public void testCallOfObjectApiAfterTimeoutUsesNewConnection() {
    Platform client = HttpPlatform.create(vertx, new Settings.Address(HOST, relayPort));
    assertOneCallFailsAfterSilence(() -> client.get(ObjectKey.valueOf("config", "main")));
  }
}
