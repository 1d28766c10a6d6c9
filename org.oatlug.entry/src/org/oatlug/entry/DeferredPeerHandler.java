// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.entry;

import io.smallrye.mutiny.Uni;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.peer.PeerHandler;
import org.oatlug.internal.peer.PeerMessage;

/**
 * Rejects messages of peers until the components of an instance are created, and then delegates to
 * their handler. Used from one event loop.
 */
final class DeferredPeerHandler implements PeerHandler {
  private PeerHandler delegate =
      (from, message) -> Uni.createFrom().item(new PeerMessage.Failed("starting"));

  /** Sets the handler of all further messages. */
  void setDelegate(PeerHandler handler) {
    delegate = handler;
  }

  @Override
  public Uni<PeerMessage> handle(Member from, PeerMessage message) {
    return delegate.handle(from, message);
  }
}
