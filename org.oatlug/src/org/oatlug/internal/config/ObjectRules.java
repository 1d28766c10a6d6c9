// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.oatlug.config.Kinds;
import org.oatlug.platform.StoredObject;

/**
 * Decides between two states of an object beyond the revisions of the store, of which the latest
 * are lost when it is restored from a copy. Implementations are stateless and thread-safe.
 */
public interface ObjectRules {
  /** Rules by which the later revision always takes precedence. */
  ObjectRules BY_REVISION =
      new ObjectRules() {
        @Override
        public long versionOf(StoredObject object) {
          return 0;
        }

        @Override
        public Optional<JsonNode> retained(StoredObject earlier, StoredObject later) {
          return Optional.empty();
        }
      };

  /**
   * Returns the number by which the writer itself orders the contents of the object; it takes
   * precedence over the revision. Equal for all objects of kinds that have no such number.
   */
  long versionOf(StoredObject object);

  /**
   * Returns the content that replaces the later one, empty if the later one takes precedence.
   *
   * @param earlier the state known from an earlier epoch of the store, or retained from it
   * @param later the state that the store holds in a later epoch, or at a later revision
   */
  Optional<JsonNode> retained(StoredObject earlier, StoredObject later);

  /** Returns the content that marks the object as deleted; it may keep parts of the last one. */
  default JsonNode tombstoneOf(StoredObject last) {
    return Kinds.tombstone();
  }
}
