// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

/** Decides which workspaces use more than their share of a service while its capacity is short. */
@FunctionalInterface
public interface WorkspaceShareRule {
  /** No workspace is beyond its share. */
  WorkspaceShareRule NEVER = (service, workspace) -> false;

  /** Returns whether the workspace is beyond its share of the service. */
  boolean isBeyondShare(String service, String workspace);
}
