// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.oatlug.api.ObjectKey;
import org.oatlug.errors.PlatformUnavailableException;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.platform.Platform;
import org.oatlug.platform.StoreEpoch;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;
import org.testng.annotations.Test;

/** Tests that calls of the store are counted by operation and kind, and only when sent. */
public class MeteredPlatformTest {
  private final MetricRegistry registry = new MetricRegistry();
  private final Platform platform = MeteredPlatform.of(new FakeStore(), Meters.of(registry));

  private long count(String name) {
    return registry.counter(name).getCount();
  }

  @Test
  public void testCallsAreCountedOnSubscription() {
    Uni<Platform.Batch> unsubscribed = platform.list(List.of("upstream"));
    assertEquals(count("store.list.upstream"), 0);
    unsubscribed.await().indefinitely();
    platform
        .watch(List.of("upstream"), StoreRevision.ofNumber(1), Duration.ofSeconds(1))
        .await()
        .indefinitely();
    assertEquals(count("store.list.upstream"), 1);
    assertEquals(count("store.watch.upstream"), 1);
    assertEquals(count("store.failed.list.upstream"), 0);
  }

  @Test
  public void testFailedCallsAreCountedAsCallsAndFailures() {
    Uni<Optional<StoredObject>> call = platform.get(ObjectKey.valueOf("rollout", "pool"));
    expectThrows(RuntimeException.class, () -> call.await().indefinitely());
    assertEquals(count("store.get.rollout"), 1);
    assertEquals(count("store.failed.get.rollout"), 1);
  }

  /** Platform whose lists and watches succeed and whose other calls fail. */
  private static final class FakeStore implements Platform {
    @Override
    public StoreEpoch epoch() {
      return StoreEpoch.create();
    }

    @Override
    public Uni<Optional<StoredObject>> get(ObjectKey key) {
      return Uni.createFrom().failure(new PlatformUnavailableException("get", null));
    }

    @Override
    public Uni<Batch> list(List<String> kinds) {
      return Uni.createFrom().item(new Batch(StoreRevision.ofNumber(1), List.of()));
    }

    @Override
    public Uni<StoreRevision> put(ObjectKey key, StoreRevision expected, JsonNode value) {
      return Uni.createFrom().failure(new PlatformUnavailableException("put", null));
    }

    @Override
    public Uni<Batch> watch(List<String> kinds, StoreRevision revision, Duration wait) {
      return Uni.createFrom().item(new Batch(revision, List.of()));
    }

    @Override
    public Uni<List<ListedInstance>> instances() {
      return Uni.createFrom().item(List.of());
    }
  }
}
