// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import org.oatlug.api.ObjectKey;
import org.oatlug.platform.StoredObject;

/**
 * Queues the objects that are pushed to one instance.
 *
 * <p>Invariants: at most one push is in flight; an object that is not sent yet is replaced by its
 * newer state, so that the work of a burst of changes is bounded by the number of objects; an
 * object whose push fails is sent again until its maximum number of attempts. Owned by one event
 * loop, not thread-safe.
 */
final class PushQueue {
  /** Two attempts may fail before a silent connection is replaced; the third one uses a new one. */
  private static final int MAXIMUM_ATTEMPTS = 3;

  private final Function<List<StoredObject>, Uni<Void>> push;
  private final Map<ObjectKey, Entry> pending = new LinkedHashMap<>();
  private List<Entry> inFlight = List.of();
  private boolean failing;

  /**
   * Object that is to be pushed.
   *
   * @param failedAttempts the number of pushes of this object that failed
   * @param onFirstFailure runs once, when the first push to the instance fails
   */
  private record Entry(
      StoredObject object, int failedAttempts, Consumer<List<StoredObject>> onFirstFailure) {
    private Entry afterFailure(int failures) {
      return new Entry(object, failedAttempts + failures, failed -> {});
    }
  }

  private PushQueue(Function<List<StoredObject>, Uni<Void>> push) {
    this.push = push;
  }

  /**
   * Returns an empty queue.
   *
   * @param push sends objects to the instance and fails if they are not acknowledged
   */
  static PushQueue create(Function<List<StoredObject>, Uni<Void>> push) {
    return new PushQueue(push);
  }

  /** Adds objects and sends them unless a push is in flight. */
  void add(List<StoredObject> objects, Consumer<List<StoredObject>> onFirstFailure) {
    for (StoredObject object : objects) {
      if (!isInFlight(object)) {
        put(new Entry(object, 0, onFirstFailure));
      }
    }
    sendPending();
  }

  private boolean isInFlight(StoredObject object) {
    return inFlight.stream().anyMatch(entry -> entry.object().equals(object));
  }

  private void put(Entry entry) {
    Entry queued = pending.get(entry.object().key());
    if (queued == null || !queued.object().revision().isAfter(entry.object().revision())) {
      pending.put(entry.object().key(), entry);
    }
  }

  /** Sends the objects of a failed push again; called once a tick. */
  void tick() {
    sendPending();
  }

  /** Returns whether the last push to the instance failed. */
  boolean isFailing() {
    return failing;
  }

  /** Returns whether nothing is queued or in flight and the last push succeeded. */
  boolean isIdle() {
    return pending.isEmpty() && inFlight.isEmpty() && !failing;
  }

  private void sendPending() {
    if (!inFlight.isEmpty() || pending.isEmpty()) {
      return;
    }
    List<Entry> sent = List.copyOf(pending.values());
    pending.clear();
    inFlight = sent;
    push.apply(sent.stream().map(Entry::object).toList())
        .subscribe()
        .with(unused -> handleAcknowledged(), failure -> handleFailure(sent));
  }

  private void handleAcknowledged() {
    inFlight = List.of();
    failing = false;
    sendPending();
  }

  private void handleFailure(List<Entry> sent) {
    inFlight = List.of();
    failing = true;
    List<Entry> waiting = List.copyOf(pending.values());
    pending.clear();
    sent.stream()
        .map(entry -> entry.afterFailure(1))
        .filter(entry -> entry.failedAttempts() < MAXIMUM_ATTEMPTS)
        .forEach(this::put);
    waiting.forEach(entry -> put(entry.afterFailure(0)));
    List<Entry> affected = new ArrayList<>(sent);
    affected.addAll(waiting);
    notifyFirstFailures(affected);
  }

  /** Runs each action once, with the newest state of each of its objects. */
  private static void notifyFirstFailures(List<Entry> affected) {
    Map<Consumer<List<StoredObject>>, Map<ObjectKey, StoredObject>> byAction =
        new LinkedHashMap<>();
    affected.forEach(
        entry ->
            byAction
                .computeIfAbsent(entry.onFirstFailure(), unused -> new LinkedHashMap<>())
                .put(entry.object().key(), entry.object()));
    byAction.forEach((action, objects) -> action.accept(List.copyOf(objects.values())));
  }
}
