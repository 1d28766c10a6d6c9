// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import java.time.Instant;

/** Decides which workspaces ask for more than their share. Used from one event loop. */
@FunctionalInterface
public interface ShareRule {
  /** No workspace is ever beyond its share. */
  ShareRule NONE = (workspace, now) -> false;

  /** Returns whether requests of the workspace may be held back in favour of others. */
  boolean isBeyondShare(String workspace, Instant now);
}
