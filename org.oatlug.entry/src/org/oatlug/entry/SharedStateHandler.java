// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.entry;

import io.smallrye.mutiny.Uni;
import org.oatlug.internal.config.ConfigurationSystem;
import org.oatlug.internal.membership.Membership;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.peer.PeerHandler;
import org.oatlug.internal.peer.PeerMessage;

/**
 * Handles the messages about members and published objects, which all kinds of instances share, and
 * delegates other messages. Used from one event loop.
 *
 * @param membership handles probes
 * @param configuration handles digests and objects, and reads the platform on behalf of peers
 * @param delegate handles all other messages
 */
record SharedStateHandler(
    Membership membership, ConfigurationSystem configuration, PeerHandler delegate)
    implements PeerHandler {

  @Override
  public Uni<PeerMessage> handle(Member from, PeerMessage message) {
    if (message instanceof PeerMessage.Ping || message instanceof PeerMessage.PingFor) {
      return membership.handle(from, message);
    }
    if (message instanceof PeerMessage.Digest
        || message instanceof PeerMessage.BucketDigests
        || message instanceof PeerMessage.Objects
        || message instanceof PeerMessage.ReadInstead) {
      return configuration.handle(from, message);
    }
    return delegate.handle(from, message);
  }
}
