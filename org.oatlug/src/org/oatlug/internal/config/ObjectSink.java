// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import java.util.List;
import org.oatlug.platform.StoredObject;

/** Takes published objects in. Owned by one event loop, not thread-safe. */
public interface ObjectSink {

  /** Takes objects in and returns those that were newer than what was known. */
  List<StoredObject> mergeAll(List<StoredObject> objects, Origin origin);

  /** Takes in objects that this instance wrote. */
  default List<StoredObject> mergeAll(List<StoredObject> objects) {
    return mergeAll(objects, Origin.OWN_WRITE);
  }

  /** Returns the join of all objects taken in. */
  ObjectJoin join();
}
