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
 * Which versions of services have upstreams, and which of them nobody has ordered.
 *
 * <p>Upstreams of a new version register as soon as it is ordered, and the order may be learned
 * after them, because another watch brings it. Invariants: a version that appears beside another
 * one, after all was read, is unordered until an order names it or no other one is left; before all
 * was read every version counts as ordered, and one that did once goes on to. Owned by one event
 * loop, not thread-safe.
 */
final class KnownVersions {
  /** Many times the versions that the services of a deployment have in a day. */
  private static final int MOST_ACCEPTED = 4096;

  private final Map<Version, Integer> upstreams = new HashMap<>();
  private final Set<Version> unordered = new HashSet<>();
  private final Set<Version> accepted = Collections.newSetFromMap(BoundedMap.ofMost(MOST_ACCEPTED));
  private boolean allRead;

  private record Version(String service, String name) {}

  private KnownVersions() {}

  /** Returns versions of nothing. */
  static KnownVersions create() {
    return new KnownVersions();
  }

  /** Notes that the orders, too, have been read: what appears from now on needs one. */
  void allRead() {
    allRead = true;
  }

  /** Notes an order for a version. */
  void ordered(String service, String name) {
    accept(new Version(service, name));
  }

  private void accept(Version version) {
    accepted.add(version);
    unordered.remove(version);
  }

  /** Notes an upstream of a version. */
  void added(String service, String name) {
    Version version = new Version(service, name);
    boolean isNew = upstreams.merge(version, 1, Integer::sum) == 1;
    if (!isNew) {
      return;
    }
    if (allRead && !accepted.contains(version) && hasAccepted(service)) {
      unordered.add(version);
    } else {
      accept(version);
    }
  }

  /** Notes that an upstream of a version is gone; the last one leaves the place to another. */
  void removed(String service, String name) {
    Version version = new Version(service, name);
    if (upstreams.merge(version, -1, Integer::sum) > 0) {
      return;
    }
    upstreams.remove(version);
    unordered.remove(version);
    if (!hasAccepted(service)) {
      List<Version> left = unordered.stream().filter(one -> one.service().equals(service)).toList();
      left.forEach(this::accept);
    }
  }

  /** Returns whether a version that counts as ordered has upstreams. */
  private boolean hasAccepted(String service) {
    return upstreams.keySet().stream()
        .anyMatch(one -> one.service().equals(service) && accepted.contains(one));
  }

  /** Returns whether the version appeared beside another one and nobody has ordered it. */
  boolean isUnordered(String service, String name) {
    return !unordered.isEmpty() && unordered.contains(new Version(service, name));
  }
}
