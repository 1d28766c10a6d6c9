// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.forward;

import java.time.Instant;
import org.oatlug.internal.peer.Member;

/**
 * An instance that takes forwarded requests for a service. Immutable.
 *
 * @param member the instance
 * @param port the port for forwarded requests
 * @param reached whether it has lately reached the service; otherwise it has not tried to
 * @param statedAt when it stated this
 */
public record Receiver(Member member, int port, boolean reached, Instant statedAt) {
  /** Returns the name of the instance. */
  public String name() {
    return member.name();
  }
}
