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
 * @param weight its weight when short capacity is shared between workspaces, 1 if it is missing
 */
public record WorkspaceKeys(
    String name, List<String> keys, Optional<Integer> priority, Optional<Double> weight) {
  /** Rejects a weight that is not positive. */
  public WorkspaceKeys {
    if (weight.isPresent() && !(weight.get() > 0 && Double.isFinite(weight.get()))) {
      throw new IllegalArgumentException(
          "the weight of workspace " + name + " is " + weight.get() + ", not a positive number");
    }
  }

  /** Creates the keys of a workspace of weight 1. */
  public WorkspaceKeys(String name, List<String> keys, Optional<Integer> priority) {
    this(name, keys, priority, Optional.empty());
  }

  @Override
  public String toString() {
    return "WorkspaceKeys[" + name + ", " + keys.size() + " keys]";
  }
}
