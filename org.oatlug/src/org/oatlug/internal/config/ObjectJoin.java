// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.oatlug.api.ObjectKey;
import org.oatlug.config.Kinds;
import org.oatlug.internal.util.Hashes;
import org.oatlug.platform.StoredObject;

/**
 * The newest known state of each published object, tombstones included.
 *
 * <p>The later revision counts, unless {@link ObjectRules} say otherwise. Invariant: merging is
 * commutative, associative and idempotent, so the order, the loss and the repetition of messages
 * cannot make an accepted object revert, across restores of the store neither. Two joins with the
 * same objects have the same digests. Owned by one event loop, not thread-safe.
 */
public final class ObjectJoin {
  /** The number of buckets over which the digests are spread. */
  public static final int BUCKETS = 64;

  /** A tombstone goes before content of the same revision and standing. */
  private static final Comparator<StoredObject> BY_REVISION =
      Comparator.comparing(StoredObject::revision)
          .thenComparing(StoredObject::standing)
          .thenComparing(object -> Kinds.isTombstone(object.value()));

  private final ObjectRules rules;
  private final Map<ObjectKey, StoredObject> objects = new TreeMap<>();
  private final long[] digests = new long[BUCKETS];

  private ObjectJoin(ObjectRules rules) {
    this.rules = rules;
  }

  /** Returns an empty join. */
  public static ObjectJoin create(ObjectRules rules) {
    return new ObjectJoin(rules);
  }

  /** Takes an object in; returns the state that counts now if that is another than before. */
  public Optional<StoredObject> merge(StoredObject object) {
    StoredObject known = objects.get(object.key());
    StoredObject joined = known == null ? object : join(known, object);
    if (joined.equals(known)) {
      return Optional.empty();
    }
    if (known != null) {
      mix(known);
    }
    objects.put(object.key(), joined);
    mix(joined);
    return Optional.of(joined);
  }

  private StoredObject join(StoredObject known, StoredObject object) {
    int byVersion = Long.compare(rules.versionOf(known), rules.versionOf(object));
    if (byVersion != 0) {
      return byVersion > 0 ? known : object;
    }
    boolean inOrder = compare(known, object) < 0;
    StoredObject earlier = inOrder ? known : object;
    StoredObject later = inOrder ? object : known;
    boolean restored = earlier.revision().epoch() < later.revision().epoch();
    boolean mayOutlive = restored || earlier.retained();
    if (!mayOutlive || later.standing() == StoredObject.Standing.CONFIRMED) {
      return later;
    }
    return rules.retained(earlier, later).map(later::retaining).orElse(later);
  }

  private static int compare(StoredObject one, StoredObject other) {
    int order = BY_REVISION.compare(one, other);
    // Only of content that was retained may there be several at one revision.
    return order != 0 || !one.retained()
        ? order
        : one.value().toString().compareTo(other.value().toString());
  }

  /** Returns the content that marks the object as deleted. */
  public JsonNode tombstoneOf(StoredObject last) {
    return rules.tombstoneOf(last);
  }

  /** Returns the newest known state of the object. */
  public Optional<StoredObject> get(ObjectKey key) {
    return Optional.ofNullable(objects.get(key));
  }

  /** Returns all objects, ordered by key. */
  public Collection<StoredObject> all() {
    return objects.values();
  }

  /** Returns the objects of one bucket. */
  public List<StoredObject> bucket(int bucket) {
    List<StoredObject> found = new ArrayList<>();
    for (StoredObject object : objects.values()) {
      if (bucketOf(object.key()) == bucket) {
        found.add(object);
      }
    }
    return found;
  }

  /** Returns the digest of each bucket. */
  public long[] bucketDigests() {
    return digests.clone();
  }

  /** Returns the digest over all objects. */
  public long digest() {
    long sum = 0;
    for (long digest : digests) {
      sum = 31 * sum + digest;
    }
    return sum;
  }

  private void mix(StoredObject object) {
    boolean gone = Kinds.isTombstone(object.value());
    String content = object.retained() ? object.value().toString() : "";
    String state = object.revision() + (gone ? "-" : "+") + object.standing();
    long hash = Hashes.hash64(object.key().toString(), state, content);
    digests[bucketOf(object.key())] ^= hash;
  }

  private static int bucketOf(ObjectKey key) {
    return Math.floorMod(key.hashCode(), BUCKETS);
  }
}
