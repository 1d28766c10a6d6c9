// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.platform;

import com.fasterxml.jackson.databind.JsonNode;
import org.oatlug.api.ObjectKey;

/**
 * An object as the platform holds it. Immutable by convention: nobody changes {@code value}.
 *
 * @param key kind and name
 * @param revision the revision of the store at which it was written
 * @param value the content
 * @param standing how the content relates to what the store shows at the revision
 */
public record StoredObject(
    ObjectKey key, StoreRevision revision, JsonNode value, Standing standing) {

  /** How a content relates to what the store shows; the later constant goes before the earlier. */
  public enum Standing {
    /** The store shows it. */
    SHOWN,
    /** It was known before the store was restored, and is newer than what the store shows. */
    RETAINED,
    /** The store still shows it long after it was restored, so it counts whatever was known. */
    CONFIRMED
  }

  /** Takes a missing standing, of an instance that knows none, for what the store shows. */
  public StoredObject {
    standing = standing == null ? Standing.SHOWN : standing;
  }

  /** Returns an object with the content that the store shows. */
  public static StoredObject of(ObjectKey key, StoreRevision revision, JsonNode value) {
    return new StoredObject(key, revision, value, Standing.SHOWN);
  }

  /** Returns the object with content that is known to be newer than what the store shows. */
  public StoredObject retaining(JsonNode newer) {
    return new StoredObject(key, revision, newer, Standing.RETAINED);
  }

  /** Returns the object as one that the store goes on to show. */
  public StoredObject confirmed() {
    return new StoredObject(key, revision, value, Standing.CONFIRMED);
  }

  /** Returns whether the store shows an older content than this. */
  public boolean retained() {
    return standing == Standing.RETAINED;
  }
}
