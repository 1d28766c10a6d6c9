// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.oatlug.api.ObjectKey;
import org.oatlug.config.Kinds;
import org.oatlug.errors.EarlierEpochException;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.platform.Platform;
import org.oatlug.platform.StoreEpoch;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;

/**
 * Counts the calls of a platform by operation and kind, and those that failed: {@code
 * store.OPERATION.KIND} and {@code store.failed.OPERATION.KIND}; and the entries that name nothing
 * to use, {@code store.unusable.KIND}; and the answers from before a restore of the store, {@code
 * store.discarded}. Used from one event loop.
 */
public final class CountedPlatform implements Platform {
  private final Platform counted;
  private final Meters meters;

  private CountedPlatform(Platform counted, Meters meters) {
    this.counted = counted;
    this.meters = meters;
  }

  /** Returns the platform with its calls counted. */
  public static Platform of(Platform counted, Meters meters) {
    return new CountedPlatform(counted, meters);
  }

  private <T> Uni<T> count(String operation, String kind, Uni<T> call) {
    String name = operation + "." + kind;
    return call.onSubscription()
        .invoke(() -> meters.count("store." + name))
        .onFailure()
        .invoke(failure -> countFailure(name, failure));
  }

  private void countFailure(String name, Throwable failure) {
    meters.count("store.failed." + name);
    if (failure.getCause() instanceof EarlierEpochException) {
      meters.count("store.discarded");
    }
  }

  private void noteUnusable(Batch batch) {
    for (StoredObject object : batch.objects()) {
      if (Kinds.problemOfUnusable(object.value()).isPresent()) {
        meters.count("store.unusable." + object.key().kind());
      }
    }
  }

  @Override
  public Uni<Optional<StoredObject>> get(ObjectKey key) {
    return count("get", key.kind(), counted.get(key));
  }

  @Override
  public Uni<Batch> list(List<String> kinds) {
    return count("list", String.join("-", kinds), counted.list(kinds).invoke(this::noteUnusable));
  }

  @Override
  public Uni<StoreRevision> put(ObjectKey key, StoreRevision expected, JsonNode value) {
    return count("put", key.kind(), counted.put(key, expected, value));
  }

  @Override
  public Uni<Batch> watch(List<String> kinds, StoreRevision revision, Duration wait) {
    return count(
        "watch",
        String.join("-", kinds),
        counted.watch(kinds, revision, wait).invoke(this::noteUnusable));
  }

  @Override
  public StoreEpoch epoch() {
    return counted.epoch();
  }

  @Override
  public Uni<List<ListedInstance>> instances() {
    return counted.instances();
  }
}
