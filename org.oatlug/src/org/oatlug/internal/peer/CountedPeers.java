// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.peer;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.function.Supplier;
import org.oatlug.internal.metrics.Meters;

/**
 * Counts the questions to other instances by type and by whether they leave the availability zone,
 * {@code peer.asked.TYPE.own-zone} and {@code .other-zone}, and those without an answer, {@code
 * peer.unanswered.TYPE}. Used from one event loop.
 */
public final class CountedPeers implements PeerNetwork {
  private final PeerNetwork counted;
  private final Supplier<Member> self;
  private final Meters meters;

  private CountedPeers(PeerNetwork counted, Supplier<Member> self, Meters meters) {
    this.counted = counted;
    this.self = self;
    this.meters = meters;
  }

  /** Returns the network with its questions counted. */
  public static PeerNetwork of(PeerNetwork counted, Supplier<Member> self, Meters meters) {
    return new CountedPeers(counted, self, meters);
  }

  @Override
  public Uni<PeerMessage> ask(Member peer, PeerMessage message, Duration patience) {
    String type = message.getClass().getSimpleName();
    boolean inOwnZone = peer.zone().equals(self.get().zone());
    meters.count("peer.asked." + type + (inOwnZone ? ".own-zone" : ".other-zone"));
    return counted
        .ask(peer, message, patience)
        .onFailure()
        .invoke(() -> meters.count("peer.unanswered." + type));
  }
}
