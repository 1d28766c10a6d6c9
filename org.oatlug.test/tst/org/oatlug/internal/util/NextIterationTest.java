// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.util;

import static org.testng.Assert.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/**
 * Tests that the event loop reads connections between the actions of two iterations.
 *
 * <p>Guards against a queue whose actions all run before anything is read, as they did with the
 * executor of the context: each action submits the next one until the data has been read.
 */
public class NextIterationTest {
  private static final int MAXIMUM_ACTIONS = 100_000;
  private static final int TIMEOUT_SECONDS = 20;

  private int actions;
  private boolean dataRead;

  private void runUntilRead(Executor executor, CompletableFuture<Boolean> outcome) {
    if (dataRead || ++actions == MAXIMUM_ACTIONS) {
      outcome.complete(dataRead);
      return;
    }
    executor.execute(() -> runUntilRead(executor, outcome));
  }

  @Test
  public void testConnectionsAreReadBetweenActions() throws Exception {
    Vertx vertx = Vertx.vertx();
    try {
      Context context = vertx.getOrCreateContext();
      CompletableFuture<Integer> port = new CompletableFuture<>();
      CompletableFuture<NetSocket> accepted = new CompletableFuture<>();
      context.runOnContext(
          unused ->
              vertx
                  .createNetServer()
                  .connectHandler(
                      socket -> {
                        socket.handler(data -> dataRead = true);
                        accepted.complete(socket);
                      })
                  .listen(0, "127.0.0.1")
                  .onSuccess(server -> port.complete(server.actualPort())));
      CompletableFuture<Boolean> outcome = new CompletableFuture<>();
      Semaphore written = new Semaphore(0);
      try (Socket socket = new Socket("127.0.0.1", port.get(TIMEOUT_SECONDS, TimeUnit.SECONDS))) {
        accepted.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        context.runOnContext(
            unused -> {
              written.acquireUninterruptibly();
              runUntilRead(NextIteration.of(vertx), outcome);
            });
        socket.getOutputStream().write(1);
        socket.getOutputStream().flush();
        written.release();
        assertTrue(outcome.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), "the data was read");
      }
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().get();
    }
  }
}
