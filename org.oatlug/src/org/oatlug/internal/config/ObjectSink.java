// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import java.util.List;
import org.oatlug.platform.StoredObject;

/** Receives published objects. Owned by one event loop, not thread-safe. */
public interface ObjectSink {

  /** Merges objects and returns those that were newer than the known ones. */
  List<StoredObject> mergeAll(List<StoredObject> objects, Origin origin);

  /** Merges objects that this instance wrote. */
  default List<StoredObject> mergeAll(List<StoredObject> objects) {
    return mergeAll(objects, Origin.OWN_WRITE);
  }

  /** Returns the join of all merged objects. */
  ObjectJoin join();
}
