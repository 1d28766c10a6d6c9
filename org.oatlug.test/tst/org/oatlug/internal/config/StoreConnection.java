// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.Collection;
import java.util.Deque;

/**
 * Connection of a {@link VirtualFleet} instance to the store, which carries one call at a time and
 * may go silent. Used from one thread.
 */
final class StoreConnection {
  private boolean silent;

  private StoreConnection() {}

  /** Returns an open connection and adds it to the connections that can be silenced. */
  static StoreConnection create(Collection<StoreConnection> open) {
    StoreConnection connection = new StoreConnection();
    open.add(connection);
    return connection;
  }

  /** Stops to deliver responses. */
  void silence() {
    silent = true;
  }

  /**
   * Returns an emitter that delivers the response of a call unless the connection is silent by
   * then, and returns the connection to its pool. A failed call closes the connection.
   */
  <T> UniEmitter<T> guard(UniEmitter<? super T> emitter, Deque<StoreConnection> pool) {
    return new UniEmitter<>() {
      private boolean ended;

      @Override
      public void complete(T item) {
        if (!silent && !ended) {
          ended = true;
          pool.push(StoreConnection.this);
          emitter.complete(item);
        }
      }

      @Override
      public void fail(Throwable failure) {
        ended = true;
        emitter.fail(failure);
      }

      @Override
      public UniEmitter<T> onTermination(Runnable onTermination) {
        emitter.onTermination(onTermination);
        return this;
      }
    };
  }
}
