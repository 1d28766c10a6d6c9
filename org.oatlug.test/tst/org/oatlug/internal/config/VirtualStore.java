// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.oatlug.api.ObjectKey;
import org.oatlug.config.Kinds;
import org.oatlug.platform.Platform;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;

/**
 * Simulates the store of a {@link VirtualFleet}: objects, their history, open watches, and restores
 * from a copy. Used from one thread.
 */
final class VirtualStore {
  private final Map<ObjectKey, StoredObject> stored = new TreeMap<>();
  private final List<StoredObject> history = new ArrayList<>();
  private final List<Watch> watches = new ArrayList<>();
  private long revision;
  private long epoch = 1;

  /** Snapshot of the store. */
  record Copy(Map<ObjectKey, StoredObject> stored, List<StoredObject> history, long revision) {}

  /** Open watch of an instance. */
  record Watch(String instance, List<String> kinds, Runnable answer) {}

  /** Returns the current revision. */
  StoreRevision currentRevision() {
    return new StoreRevision(epoch, revision);
  }

  /** Returns an object as it was last written. */
  StoredObject get(ObjectKey key) {
    return stored.get(key);
  }

  /** Returns all objects of some kinds. */
  Platform.Batch list(List<String> kinds) {
    return new Platform.Batch(currentRevision(), inCurrentEpoch(kinds, stored.values()));
  }

  /** Returns the changes of some kinds after a revision number of this epoch. */
  Platform.Batch changesAfter(List<String> kinds, long since) {
    List<StoredObject> changes =
        history.stream().filter(change -> change.revision().number() > since).toList();
    return new Platform.Batch(currentRevision(), inCurrentEpoch(kinds, changes));
  }

  /** Returns the objects of some kinds with their revisions in the current epoch. */
  private List<StoredObject> inCurrentEpoch(List<String> kinds, Collection<StoredObject> objects) {
    return objects.stream()
        .filter(object -> kinds.contains(object.key().kind()))
        .map(
            object ->
                StoredObject.of(
                    object.key(),
                    new StoreRevision(epoch, object.revision().number()),
                    object.value()))
        .toList();
  }

  /** Keeps a watch open until the next change. */
  void keepOpen(Watch watch) {
    watches.add(watch);
  }

  /** Answers all open watches. */
  void answerWatches() {
    List<Watch> waiting = List.copyOf(watches);
    watches.clear();
    waiting.forEach(watch -> watch.answer().run());
  }

  /** Makes changes no longer answer the open watches of a kind of some instances; they time out. */
  void suspendWatches(List<String> instances, String kind) {
    watches.removeIf(watch -> instances.contains(watch.instance()) && watch.kinds().contains(kind));
  }

  /** Writes an object, or removes it if the content is a tombstone. */
  void change(ObjectKey key, JsonNode value) {
    revision++;
    StoredObject object = StoredObject.of(key, currentRevision(), value);
    history.add(object);
    if (Kinds.isTombstone(value)) {
      stored.remove(key);
    } else {
      stored.put(key, object);
    }
    answerWatches();
  }

  /** Returns a snapshot of the store. */
  Copy copy() {
    return new Copy(new TreeMap<>(stored), List.copyOf(history), revision);
  }

  /** Restores the store from a copy; open watches continue in the new epoch. */
  void restoreKeepingWatches(Copy copy) {
    stored.clear();
    stored.putAll(copy.stored());
    history.clear();
    history.addAll(copy.history());
    revision = copy.revision();
    epoch++;
  }

  /** Restores the store from a copy; open watches are answered in the new epoch. */
  void restore(Copy copy) {
    restoreKeepingWatches(copy);
    answerWatches();
  }
}
