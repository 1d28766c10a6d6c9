// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.entry;

import io.smallrye.mutiny.Uni;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.peer.PeerHandler;
import org.oatlug.internal.peer.PeerMessage;

/**
 * Answers peers that come before the parts of an instance are made, and then hands their messages
 * on. Used from one event loop.
 */
final class LatePeers implements PeerHandler {
  private PeerHandler target =
      (from, message) -> Uni.createFrom().item(new PeerMessage.Failed("starting"));

  /** Sets who answers from now on. */
  void handOnTo(PeerHandler handler) {
    target = handler;
  }

  @Override
  public Uni<PeerMessage> handle(Member from, PeerMessage message) {
    return target.handle(from, message);
  }
}
