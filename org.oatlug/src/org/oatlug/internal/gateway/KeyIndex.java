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

  private KeyIndex(boolean required, Map<String, WorkspaceKeys> byKey) {
    this.required = required;
    this.byKey = byKey;
  }

  /** Returns an index for a deployment that requires no keys. */
  static KeyIndex notRequired() {
    return new KeyIndex(false, Map.of());
  }

  /** Returns an index of the keys of the workspaces. */
  public static KeyIndex of(List<WorkspaceKeys> workspaces) {
    Map<String, WorkspaceKeys> byKey = new HashMap<>();
    for (WorkspaceKeys workspace : workspaces) {
      workspace.keys().forEach(key -> byKey.put(key, workspace));
    }
    return new KeyIndex(true, byKey);
  }

  /** Returns whether requests need a key. */
  public boolean isRequired() {
    return required;
  }

  /** Returns the workspace of this name, empty if there is none. */
  Optional<WorkspaceKeys> workspace(String name) {
    return byKey.values().stream().filter(workspace -> workspace.name().equals(name)).findFirst();
  }

  /** Returns the workspace of the key, empty if the key is unknown. */
  public Optional<WorkspaceKeys> find(String key) {
    return Optional.ofNullable(byKey.get(key));
  }
}
