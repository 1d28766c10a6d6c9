// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import java.util.ArrayList;
import java.util.List;
import org.oatlug.internal.util.Hashes;
import org.oatlug.platform.StoredObject;

/**
 * Trees along which changes are broadcast among the instances of one availability zone.
 *
 * <p>Invariant: the tree of a change depends on the change alone, not on its batch. Instances that
 * receive the change in different batches therefore forward it along the same tree, and none is
 * missed because its parent had the change already. There are several trees, so that no instance
 * always forwards, but only a few, so that a large batch still takes few messages. Immutable,
 * thread-safe.
 */
final class BroadcastTrees {
  /** Children of each instance: from the root, 3 steps reach 23 instances, and up to 85. */
  private static final int FAN_OUT = 4;

  /** Number of trees: each of 23 instances forwards in 2 of them on average. */
  private static final int TREE_COUNT = 8;

  private final List<List<String>> orders = new ArrayList<>();

  private BroadcastTrees(List<String> names) {
    for (int tree = 0; tree < TREE_COUNT; tree++) {
      orders.add(Hashes.rendezvous("tree-" + tree, names));
    }
  }

  /** Returns the trees over these instances. */
  static BroadcastTrees over(List<String> names) {
    return new BroadcastTrees(names);
  }

  /** Returns the instance at the root of the tree of the change. */
  String rootOf(StoredObject change) {
    return orderOf(change).get(0);
  }

  /** Returns the instances to which the given instance forwards the change. */
  List<String> childrenOf(StoredObject change, String instance) {
    List<String> order = orderOf(change);
    int position = order.indexOf(instance);
    if (position < 0) {
      return List.of();
    }
    int first = Math.min(order.size(), position * FAN_OUT + 1);
    int end = Math.min(order.size(), first + FAN_OUT);
    return order.subList(first, end);
  }

  /** Returns all instances that the given one reaches through its children. */
  List<String> descendantsOf(StoredObject change, String instance) {
    List<String> descendants = new ArrayList<>(childrenOf(change, instance));
    for (int index = 0; index < descendants.size(); index++) {
      descendants.addAll(childrenOf(change, descendants.get(index)));
    }
    return descendants;
  }

  private List<String> orderOf(StoredObject change) {
    long hash = Hashes.hash64(change.key().toString(), change.revision().toString());
    return orders.get(Math.floorMod(hash, TREE_COUNT));
  }
}
