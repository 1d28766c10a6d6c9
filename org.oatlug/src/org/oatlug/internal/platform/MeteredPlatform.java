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
 * Counts the calls of a platform by operation and kind, {@code store.OPERATION.KIND}, the failed
 * ones, {@code store.failed.OPERATION.KIND}, the unusable entries, {@code store.unusable.KIND}, and
 * the responses from before a restore of the store, {@code store.discarded}. Used from one event
 * loop.
 */
public final class MeteredPlatform implements Platform {
  private final Platform delegate;
  private final Meters meters;

  private MeteredPlatform(Platform delegate, Meters meters) {
    this.delegate = delegate;
    this.meters = meters;
  }

  /** Returns a platform that counts the calls to {@code delegate}. */
  public static Platform of(Platform delegate, Meters meters) {
    return new MeteredPlatform(delegate, meters);
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

  private void countUnusable(Batch batch) {
    for (StoredObject object : batch.objects()) {
      if (Kinds.problemOfUnusable(object.value()).isPresent()) {
        meters.count("store.unusable." + object.key().kind());
      }
    }
  }

  @Override
  public Uni<Optional<StoredObject>> get(ObjectKey key) {
    return count("get", key.kind(), delegate.get(key));
  }

  @Override
  public Uni<Batch> list(List<String> kinds) {
    return count("list", String.join("-", kinds), delegate.list(kinds).invoke(this::countUnusable));
  }

  @Override
  public Uni<StoreRevision> put(ObjectKey key, StoreRevision expected, JsonNode value) {
    return count("put", key.kind(), delegate.put(key, expected, value));
  }

  @Override
  public Uni<Batch> watch(List<String> kinds, StoreRevision revision, Duration wait) {
    return count(
        "watch",
        String.join("-", kinds),
        delegate.watch(kinds, revision, wait).invoke(this::countUnusable));
  }

  @Override
  public void renewConnections() {
    meters.count("store.connections-renewed");
    delegate.renewConnections();
  }

  @Override
  public StoreEpoch epoch() {
    return delegate.epoch();
  }

  @Override
  public Uni<List<ListedInstance>> instances() {
    return delegate.instances();
  }
}
