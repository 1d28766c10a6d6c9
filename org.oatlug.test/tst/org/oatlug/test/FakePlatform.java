// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import com.fasterxml.jackson.databind.JsonNode;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.oatlug.api.ObjectKey;
import org.oatlug.errors.ConflictException;
import org.oatlug.errors.PlatformUnavailableException;
import org.oatlug.platform.Platform;
import org.oatlug.platform.StoreEpoch;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;

/**
 * In-memory platform whose calls take effect when a test triggers them: in any order, with
 * responses delivered or lost. Not thread-safe.
 */
final class FakePlatform implements Platform {
  private final Map<ObjectKey, StoredObject> objects = new TreeMap<>();
  private final List<Call> pendingCalls = new ArrayList<>();
  private final StoreEpoch epoch = StoreEpoch.create();
  private final boolean checksRevision;
  private boolean immediate = true;
  private long revision;

  private FakePlatform(boolean checksRevision) {
    this.checksRevision = checksRevision;
  }

  static FakePlatform create() {
    return new FakePlatform(true);
  }

  /**
   * Returns a platform that ignores the expected revision of a write. Tests use it to show that
   * they would detect a missing revision check.
   */
  static FakePlatform unconditional() {
    return new FakePlatform(false);
  }

  /** A call that has not taken effect yet. */
  interface Call {
    void deliver(boolean replyLost);
  }

  /** Sets whether calls are deferred until the test delivers them or take effect immediately. */
  void deferCalls(boolean deferred) {
    immediate = !deferred;
  }

  int pending() {
    return pendingCalls.size();
  }

  /** Executes the pending call at the index; its response is lost if {@code replyLost}. */
  void deliver(int index, boolean replyLost) {
    pendingCalls.remove(index).deliver(replyLost);
  }

  /** Executes all pending calls in the order of their arrival. */
  void deliverAll() {
    while (!pendingCalls.isEmpty()) {
      deliver(0, false);
    }
  }

  @Override
  public StoreEpoch epoch() {
    return epoch;
  }

  @Override
  public Uni<Optional<StoredObject>> get(ObjectKey key) {
    return call(() -> Uni.createFrom().item(Optional.ofNullable(objects.get(key))));
  }

  @Override
  public Uni<StoreRevision> put(ObjectKey key, StoreRevision expected, JsonNode value) {
    return call(() -> write(key, expected, value));
  }

  private Uni<StoreRevision> write(ObjectKey key, StoreRevision expected, JsonNode value) {
    Optional<StoredObject> currentObject = Optional.ofNullable(objects.get(key));
    StoreRevision currentRevision =
        currentObject.map(StoredObject::revision).orElse(StoreRevision.NONE);
    if (checksRevision && !currentRevision.equals(expected)) {
      return Uni.createFrom().failure(new ConflictException(key, expected, currentObject));
    }
    revision++;
    StoreRevision written = StoreRevision.ofNumber(revision);
    objects.put(key, StoredObject.of(key, written, value));
    return Uni.createFrom().item(written);
  }

  @Override
  public Uni<Batch> list(List<String> kinds) {
    return call(() -> Uni.createFrom().item(batch(kinds, StoreRevision.NONE)));
  }

  @Override
  public Uni<Batch> watch(List<String> kinds, StoreRevision since, Duration wait) {
    return call(() -> Uni.createFrom().item(batch(kinds, since)));
  }

  @Override
  public Uni<List<ListedInstance>> instances() {
    return Uni.createFrom().item(List.of());
  }

  private Batch batch(List<String> kinds, StoreRevision since) {
    List<StoredObject> matches = new ArrayList<>();
    for (StoredObject object : objects.values()) {
      if (object.revision().isAfter(since) && kinds.contains(object.key().kind())) {
        matches.add(object);
      }
    }
    return new Batch(StoreRevision.ofNumber(revision), matches);
  }

  private <T> Uni<T> call(java.util.function.Supplier<Uni<T>> operation) {
    return Uni.createFrom()
        .emitter(
            responseEmitter -> {
              Call call =
                  replyLost ->
                      operation
                          .get()
                          .subscribe()
                          .with(
                              item -> {
                                if (replyLost) {
                                  responseEmitter.fail(
                                      new PlatformUnavailableException("lost", null));
                                } else {
                                  responseEmitter.complete(item);
                                }
                              },
                              responseEmitter::fail);
              if (immediate) {
                call.deliver(false);
              } else {
                pendingCalls.add(call);
              }
            });
  }
}
