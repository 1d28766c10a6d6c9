// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.crash;

import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.oatlug.internal.util.BoundedMap;

/**
 * Holds the upstream processes whose crashes are explained by a convicted prompt part, so that they
 * do not count against whatever else ran there.
 *
 * <p>Invariant: bounded; the explanations used least recently are evicted. Owned by one event loop,
 * not thread-safe.
 */
final class CrashExplanations {
  /** Several times the upstreams that crash until a part is convicted everywhere. */
  private static final int MAXIMUM_PROCESSES = 2048;

  /** Maps each process to the key of the part that crashed it. */
  private final Map<String, String> causes = BoundedMap.withMaximumSize(MAXIMUM_PROCESSES);

  private final Set<String> parts = new HashSet<>();

  /** Records that the part crashed the processes. */
  void explain(Collection<String> processes, String part) {
    parts.add(part);
    processes.forEach(process -> causes.putIfAbsent(process, part));
  }

  /** Withdraws all explanations by a part. */
  void withdraw(String part) {
    if (parts.remove(part)) {
      causes.values().removeIf(part::equals);
    }
  }

  /** Returns whether the crash of the process is explained by another key. */
  boolean isExplainedByAnother(String process, String key) {
    String cause = causes.get(process);
    return cause != null && !cause.equals(key);
  }
}
