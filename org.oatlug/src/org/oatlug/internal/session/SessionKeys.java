// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.session;

import java.util.Map;
import java.util.Optional;

/**
 * Keys of session tokens: one key signs, all keys verify, so that keys can be rotated. Immutable,
 * thread-safe.
 *
 * @param signingKeyId the id of the key that signs new tokens
 * @param keys the keys by id
 */
public record SessionKeys(String signingKeyId, Map<String, String> keys) {

  /** Returns the key with this id, empty if it is unknown. */
  public Optional<String> key(String id) {
    return Optional.ofNullable(keys.get(id));
  }

  @Override
  public String toString() {
    return "SessionKeys[" + signingKeyId + "]";
  }
}
