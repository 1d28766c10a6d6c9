// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import java.util.Locale;

/**
 * Source from which this instance received objects. Immutable, thread-safe.
 *
 * @param channel the channel
 * @param sender the name of the sending instance, "store" if they came from the store
 */
public record Origin(Channel channel, String sender) {
  /** Objects that this instance wrote, or that the response to its write contained. */
  public static final Origin OWN_WRITE = new Origin(Channel.WRITE, "store");

  static final Origin LIST = new Origin(Channel.LIST, "store");
  static final Origin WATCH = new Origin(Channel.WATCH, "store");

  /** Channels through which objects reach an instance. */
  public enum Channel {
    /** A list of the store. */
    LIST,
    /** A watch of the store. */
    WATCH,
    /** The response to a write of this instance. */
    WRITE,
    /** A push by another instance, soon after it received the change itself. */
    PUSH,
    /** A comparison of digests, which repairs lost pushes. */
    DIGEST
  }

  static Origin pushedBy(String instance) {
    return new Origin(Channel.PUSH, instance);
  }

  static Origin comparedWith(String instance) {
    return new Origin(Channel.DIGEST, instance);
  }

  /** Returns the channel and the sender as fields of a log line. */
  @Override
  public String toString() {
    return "by=" + channel.name().toLowerCase(Locale.ROOT) + " from=" + sender;
  }
}
