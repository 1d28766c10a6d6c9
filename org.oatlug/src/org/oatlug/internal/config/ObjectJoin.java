// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.oatlug.api.ObjectKey;
import org.oatlug.config.Kinds;
import org.oatlug.internal.util.Hashes;
import org.oatlug.platform.StoredObject;

/**
 * The highest known version of each published object, tombstones included.
 *
 * <p>Invariant: merging is commutative, associative and idempotent, so the order, the loss and the
 * repetition of messages cannot make an accepted object revert. Two joins with the same objects
 * have the same digests. Owned by one event loop, not thread-safe.
 */
public final class ObjectJoin {
  /** The number of buckets over which the digests are spread. */
  public static final int BUCKETS = 64;

  private final Map<ObjectKey, StoredObject> objects = new TreeMap<>();
  private final long[] digests = new long[BUCKETS];

  private ObjectJoin() {}

  /** Returns an empty join. */
  public static ObjectJoin create() {
    return new ObjectJoin();
  }

  /** Takes the object in and returns whether it was newer than what was known. */
  public boolean merge(StoredObject object) {
    StoredObject known = objects.get(object.key());
    if (known != null && rank(known) >= rank(object)) {
      return false;
    }
    if (known != null) {
      mix(known);
    }
    objects.put(object.key(), object);
    mix(object);
    return true;
  }

  /** Returns the newest known version of the object. */
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
    long hash = Hashes.hash64(object.key().toString(), Long.toString(rank(object)));
    digests[bucketOf(object.key())] ^= hash;
  }

  /** Orders by version; a tombstone goes before content of the same version. */
  private static long rank(StoredObject object) {
    return 2 * object.version() + (Kinds.isTombstone(object.value()) ? 1 : 0);
  }

  private static int bucketOf(ObjectKey key) {
    return Math.floorMod(key.hashCode(), BUCKETS);
  }
}
