// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Objects;
import org.oatlug.api.ObjectKey;

/**
 * Object of the store at one revision. Immutable by convention: {@code value} is never modified.
 *
 * @param key the kind and name
 * @param revision the revision of the store at which it was written
 * @param value the content
 * @param standing whether the store holds this content at the revision; after a restore the store
 *     may hold older content than instances have seen
 */
public record StoredObject(
    ObjectKey key, StoreRevision revision, JsonNode value, Standing standing) {

  /** Relation of content to that of the store; later constants override earlier ones. */
  public enum Standing {
    /** The store holds this content. */
    SHOWN,
    /** Known since before a restore of the store, and newer than the content in the store. */
    RETAINED,
    /** Still in the store long after a restore, so it overrides any content known before. */
    CONFIRMED
  }

  /** Treats a missing standing, sent by instances that lack the field, as {@code SHOWN}. */
  public StoredObject {
    standing = standing == null ? Standing.SHOWN : standing;
  }

  /** Returns an object with the content that the store holds. */
  public static StoredObject of(ObjectKey key, StoreRevision revision, JsonNode value) {
    return new StoredObject(key, revision, value, Standing.SHOWN);
  }

  /** Returns the object with content known to be newer than that of the store. */
  public StoredObject retaining(JsonNode newer) {
    return new StoredObject(key, revision, newer, Standing.RETAINED);
  }

  /** Returns the object, confirmed as still being in the store. */
  public StoredObject confirmed() {
    return new StoredObject(key, revision, value, Standing.CONFIRMED);
  }

  // Written out: objects are compared during a start, and linking the methods that records have by
  // default costs milliseconds.
  @Override
  public boolean equals(Object other) {
    return other instanceof StoredObject object
        && Objects.equals(key, object.key)
        && Objects.equals(revision, object.revision)
        && Objects.equals(value, object.value)
        && standing == object.standing;
  }

  @Override
  public int hashCode() {
    return Objects.hash(key, revision, value, standing);
  }

  /** Returns whether the store holds older content than this. */
  public boolean retained() {
    return standing == Standing.RETAINED;
  }
}
