// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.oatlug.internal.util.BoundedMap;

/**
 * Tracks which versions of services have upstreams, and which of them lack a roll-out order.
 *
 * <p>Upstreams of a new version register as soon as it is ordered. The order may arrive after them,
 * because it comes through a separate watch. Invariants: a version that appears beside another one
 * after the initial read is unordered until an order names it or no other version is left; until
 * the initial read is complete every version is accepted, and an accepted version stays accepted.
 * Owned by one event loop, not thread-safe.
 */
final class VersionRegistry {
  /** Far above the number of versions that the services of a deployment have in a day. */
  private static final int MAXIMUM_ACCEPTED = 4096;

  private final Map<Version, Integer> upstreams = new HashMap<>();
  private final Set<Version> unordered = new HashSet<>();
  private final Set<Version> accepted =
      Collections.newSetFromMap(BoundedMap.withMaximumSize(MAXIMUM_ACCEPTED));
  private boolean initialReadComplete;

  private record Version(String service, String name) {}

  private VersionRegistry() {}

  /** Returns an empty registry. */
  static VersionRegistry create() {
    return new VersionRegistry();
  }

  /** Records that all orders have been read; versions that appear from now on need one. */
  void completeInitialRead() {
    initialReadComplete = true;
  }

  /** Accepts a version that a roll-out order names. */
  void recordOrder(String service, String name) {
    accept(new Version(service, name));
  }

  private void accept(Version version) {
    accepted.add(version);
    unordered.remove(version);
  }

  /** Records an added upstream of a version. */
  void added(String service, String name) {
    Version version = new Version(service, name);
    boolean isNew = upstreams.merge(version, 1, Integer::sum) == 1;
    if (!isNew) {
      return;
    }
    if (initialReadComplete && !accepted.contains(version) && hasAcceptedVersion(service)) {
      unordered.add(version);
    } else {
      accept(version);
    }
  }

  /**
   * Records a removed upstream of a version; if no accepted version of the service is left, the
   * remaining ones are accepted.
   */
  void removed(String service, String name) {
    Version version = new Version(service, name);
    if (upstreams.merge(version, -1, Integer::sum) > 0) {
      return;
    }
    upstreams.remove(version);
    unordered.remove(version);
    if (!hasAcceptedVersion(service)) {
      List<Version> remaining =
          unordered.stream().filter(known -> known.service().equals(service)).toList();
      remaining.forEach(this::accept);
    }
  }

  /** Returns whether any accepted version of the service has upstreams. */
  private boolean hasAcceptedVersion(String service) {
    return upstreams.keySet().stream()
        .anyMatch(known -> known.service().equals(service) && accepted.contains(known));
  }

  /** Returns whether the version appeared beside another one and no roll-out order names it. */
  boolean lacksRolloutOrder(String service, String name) {
    return !unordered.isEmpty() && unordered.contains(new Version(service, name));
  }
}
