// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.util;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.function.Supplier;

/** Conversions between Vert.x futures and Mutiny. Stateless, thread-safe. */
public final class Unis {
  private Unis() {}

  /** Returns a Uni that obtains the future on subscription. */
  public static <T> Uni<T> fromFuture(Supplier<Future<T>> supplier) {
    return Uni.createFrom()
        .emitter(
            emitter -> supplier.get().onComplete(item -> emitter.complete(item), emitter::fail));
  }

  /** Subscribes to the Uni immediately and returns a future of its item. */
  public static <T> Future<T> toFuture(Uni<T> uni) {
    Promise<T> promise = Promise.promise();
    uni.subscribe().with(promise::complete, promise::fail);
    return promise.future();
  }
}
