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
 * Answers what every instance is asked, about members and published objects, and hands other
 * messages on. Used from one event loop.
 *
 * @param membership answers probes
 * @param configuration answers digests, takes objects and reads the platform
 * @param others answers everything else
 */
record SharedStatePeers(
    Membership membership, ConfigurationSystem configuration, PeerHandler others)
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
    return others.handle(from, message);
  }
}
