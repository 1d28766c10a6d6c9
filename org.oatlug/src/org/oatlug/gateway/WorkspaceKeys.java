// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

import java.util.List;
import java.util.Optional;

/**
 * Keys of the callers of a workspace. Immutable.
 *
 * @param name the name of the workspace
 * @param keys the valid keys
 * @param priority the priority of its requests, which overrides that of the route
 */
public record WorkspaceKeys(String name, List<String> keys, Optional<Integer> priority) {
  @Override
  public String toString() {
    return "WorkspaceKeys[" + name + ", " + keys.size() + " keys]";
  }
}
