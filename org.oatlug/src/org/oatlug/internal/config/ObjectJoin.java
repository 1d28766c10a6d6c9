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
 * Holds the newest known state of each published object, tombstones included.
 *
 * <p>The later revision takes precedence, unless {@link ObjectRules} decide otherwise. Invariant:
 * merging is commutative, associative and idempotent, so reordered, lost or repeated messages
 * cannot make an accepted object revert, not even across restores of the store. Two joins with the
 * same objects have the same digests. Owned by one event loop, not thread-safe.
 */
public final class ObjectJoin {
  /** The number of buckets into which the objects are divided, each with its own digest. */
  public static final int BUCKETS = 64;

  /**
   * Orders states of an object by revision, then by standing, which tells content that the store
   * holds from newer content known since before a restore; a tombstone overrides content of equal
   * revision and standing.
   */
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

  /** Merges an object; returns the resulting state if it differs from the previous one. */
  public Optional<StoredObject> merge(StoredObject object) {
    StoredObject known = objects.get(object.key());
    StoredObject joined = known == null ? object : join(known, object);
    if (joined.equals(known)) {
      return Optional.empty();
    }
    if (known != null) {
      toggleInDigest(known);
    }
    objects.put(object.key(), joined);
    toggleInDigest(joined);
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
    boolean mayRetainEarlier = restored || earlier.retained();
    if (!mayRetainEarlier || later.standing() == StoredObject.Standing.CONFIRMED) {
      return later;
    }
    return rules.retained(earlier, later).map(later::retaining).orElse(later);
  }

  private static int compare(StoredObject first, StoredObject second) {
    int order = BY_REVISION.compare(first, second);
    // Only retained content may differ between states of one revision.
    return order != 0 || !first.retained()
        ? order
        : first.value().toString().compareTo(second.value().toString());
  }

  /** Returns the tombstone that replaces the last content of an object. */
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
    List<StoredObject> matching = new ArrayList<>();
    for (StoredObject object : objects.values()) {
      if (bucketOf(object.key()) == bucket) {
        matching.add(object);
      }
    }
    return matching;
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

  private void toggleInDigest(StoredObject object) {
    boolean deleted = Kinds.isTombstone(object.value());
    String content = object.retained() ? object.value().toString() : "";
    String state = object.revision() + (deleted ? "-" : "+") + object.standing();
    long hash = Hashes.hash64(object.key().toString(), state, content);
    digests[bucketOf(object.key())] ^= hash;
  }

  private static int bucketOf(ObjectKey key) {
    return Math.floorMod(key.hashCode(), BUCKETS);
  }
}
