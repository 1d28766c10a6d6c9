// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

import java.util.List;
import java.util.Optional;

/**
 * A workspace and the keys of its callers. Immutable.
 *
 * @param name the name of the workspace
 * @param keys the keys that are in force
 * @param priority the rank of its requests, which goes before that of the route
 */
public record WorkspaceKeys(String name, List<String> keys, Optional<Integer> priority) {
  @Override
  public String toString() {
    return "WorkspaceKeys[" + name + ", " + keys.size() + " keys]";
  }
}
