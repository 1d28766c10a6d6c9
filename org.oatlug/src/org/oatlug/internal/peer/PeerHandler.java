// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.peer;

import io.smallrye.mutiny.Uni;

/** Handles messages of other instances. Used from one event loop. */
@FunctionalInterface
public interface PeerHandler {

  /** Returns the response; the peer is notified of a failure. */
  Uni<PeerMessage> handle(Member from, PeerMessage message);
}
