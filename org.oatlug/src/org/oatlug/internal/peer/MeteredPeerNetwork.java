// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.peer;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.function.Supplier;
import org.oatlug.internal.metrics.Meters;

/**
 * Counts the requests to other instances by type and by destination zone, as {@code
 * peer.asked.TYPE.own-zone} and {@code .other-zone}, and the failed requests, as {@code
 * peer.unanswered.TYPE}. TYPE is the simple name of the message class, so renaming a class renames
 * its metrics. Used from one event loop.
 */
public final class MeteredPeerNetwork implements PeerNetwork {
  private final PeerNetwork delegate;
  private final Supplier<Member> self;
  private final Meters meters;

  private MeteredPeerNetwork(PeerNetwork delegate, Supplier<Member> self, Meters meters) {
    this.delegate = delegate;
    this.self = self;
    this.meters = meters;
  }

  /** Returns a network that counts the requests to the given one. */
  public static PeerNetwork of(PeerNetwork delegate, Supplier<Member> self, Meters meters) {
    return new MeteredPeerNetwork(delegate, self, meters);
  }

  @Override
  public Uni<PeerMessage> sendRequest(Member peer, PeerMessage message, Duration timeout) {
    String type = message.getClass().getSimpleName();
    boolean inOwnZone = peer.zone().equals(self.get().zone());
    meters.count("peer.asked." + type + (inOwnZone ? ".own-zone" : ".other-zone"));
    return delegate
        .sendRequest(peer, message, timeout)
        .onFailure()
        .invoke(() -> meters.count("peer.unanswered." + type));
  }
}
