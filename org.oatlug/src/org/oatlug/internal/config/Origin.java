// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import java.util.Locale;

/**
 * Which way objects came to this instance. Immutable, thread-safe.
 *
 * @param way the way
 * @param from the name of the instance that sent them, "store" if none did
 */
public record Origin(Way way, String from) {
  /** Objects that this instance wrote, or that the answer to its write showed. */
  public static final Origin OWN_WRITE = new Origin(Way.WRITE, "store");

  static final Origin LIST = new Origin(Way.LIST, "store");
  static final Origin WATCH = new Origin(Way.WATCH, "store");

  /** The ways in which objects reach an instance. */
  public enum Way {
    /** A list of the store. */
    LIST,
    /** A watch at the store. */
    WATCH,
    /** The answer to a write of this instance. */
    WRITE,
    /** A push of another instance, soon after it learned of the change itself. */
    PUSH,
    /** A comparison of digests, which repairs what pushes left out. */
    DIGEST
  }

  static Origin pushedBy(String instance) {
    return new Origin(Way.PUSH, instance);
  }

  static Origin comparedWith(String instance) {
    return new Origin(Way.DIGEST, instance);
  }

  /** Returns the way and the sender as fields of a log line. */
  @Override
  public String toString() {
    return "by=" + way.name().toLowerCase(Locale.ROOT) + " from=" + from;
  }
}
