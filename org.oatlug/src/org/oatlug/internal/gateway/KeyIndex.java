// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oatlug.gateway.WorkspaceKeys;

/** Maps caller keys to their workspaces. Immutable, thread-safe. */
public final class KeyIndex {
  private final boolean required;
  private final Map<String, WorkspaceKeys> byKey;
  private final Map<String, Double> weights;

  private KeyIndex(
      boolean required, Map<String, WorkspaceKeys> byKey, Map<String, Double> weights) {
    this.required = required;
    this.byKey = byKey;
    this.weights = weights;
  }

  /** Returns an index for a deployment that requires no keys. */
  static KeyIndex notRequired() {
    return new KeyIndex(false, Map.of(), Map.of());
  }

  /** Returns an index of the keys of the workspaces. */
  public static KeyIndex of(List<WorkspaceKeys> workspaces) {
    Map<String, WorkspaceKeys> byKey = new HashMap<>();
    Map<String, Double> weights = new HashMap<>();
    for (WorkspaceKeys workspace : workspaces) {
      workspace.weight().ifPresent(weight -> weights.put(workspace.name(), weight));
      workspace.keys().forEach(key -> byKey.put(key, workspace));
    }
    return new KeyIndex(true, byKey, weights);
  }

  /** Returns whether requests need a key. */
  public boolean isRequired() {
    return required;
  }

  /** Returns the workspace of this name, empty if there is none. */
  Optional<WorkspaceKeys> workspace(String name) {
    return byKey.values().stream().filter(workspace -> workspace.name().equals(name)).findFirst();
  }

  /** Returns the weight of a workspace when capacity is shared, 1 if none is configured. */
  double weightOf(String name) {
    return weights.getOrDefault(name, 1.0);
  }

  /** Returns the workspace of the key, empty if the key is unknown. */
  public Optional<WorkspaceKeys> find(String key) {
    return Optional.ofNullable(byKey.get(key));
  }
}
