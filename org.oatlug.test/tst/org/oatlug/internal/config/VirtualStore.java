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
 * The store of a {@link VirtualFleet}: objects, their history, watches that wait, and restores from
 * a copy. Used from one thread.
 */
final class VirtualStore {
  private final Map<ObjectKey, StoredObject> stored = new TreeMap<>();
  private final List<StoredObject> history = new ArrayList<>();
  private final List<Watch> watches = new ArrayList<>();
  private long revision;
  private long epoch = 1;

  /** What the store held at some moment. */
  record Copy(Map<ObjectKey, StoredObject> stored, List<StoredObject> history, long revision) {}

  /** A watch of an instance that waits for a change. */
  record Watch(String instance, List<String> kinds, Runnable answer) {}

  /** Returns the present revision. */
  StoreRevision now() {
    return new StoreRevision(epoch, revision);
  }

  /** Returns an object as it was written. */
  StoredObject get(ObjectKey key) {
    return stored.get(key);
  }

  /** Returns all objects of some kinds. */
  Platform.Batch list(List<String> kinds) {
    return new Platform.Batch(now(), shown(kinds, stored.values()));
  }

  /** Returns what changed of some kinds since a number of this epoch. */
  Platform.Batch changesAfter(List<String> kinds, long since) {
    List<StoredObject> changes =
        history.stream().filter(change -> change.revision().number() > since).toList();
    return new Platform.Batch(now(), shown(kinds, changes));
  }

  /** Returns objects of some kinds as the store shows them in its present epoch. */
  private List<StoredObject> shown(List<String> kinds, Collection<StoredObject> objects) {
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

  /** Lets a watch wait for the next change. */
  void hold(Watch watch) {
    watches.add(watch);
  }

  /** Answers all watches that wait. */
  void answerWatches() {
    List<Watch> waiting = List.copyOf(watches);
    watches.clear();
    waiting.forEach(watch -> watch.answer().run());
  }

  /** Lets the watches of a kind, of some instances, wait until they end, whatever changes. */
  void loseWatches(List<String> instances, String kind) {
    watches.removeIf(watch -> instances.contains(watch.instance()) && watch.kinds().contains(kind));
  }

  /** Writes an object, or removes it if the content is a tombstone. */
  void change(ObjectKey key, JsonNode value) {
    revision++;
    StoredObject object = StoredObject.of(key, now(), value);
    history.add(object);
    if (Kinds.isTombstone(value)) {
      stored.remove(key);
    } else {
      stored.put(key, object);
    }
    answerWatches();
  }

  /** Returns a copy of what the store holds. */
  Copy copy() {
    return new Copy(new TreeMap<>(stored), List.copyOf(history), revision);
  }

  /** Puts the store back to a copy; watches that wait go on in the new epoch. */
  void restoreKeepingWatches(Copy copy) {
    stored.clear();
    stored.putAll(copy.stored());
    history.clear();
    history.addAll(copy.history());
    revision = copy.revision();
    epoch++;
  }

  /** Puts the store back to a copy; watches that wait are answered in the new epoch. */
  void restore(Copy copy) {
    restoreKeepingWatches(copy);
    answerWatches();
  }
}
