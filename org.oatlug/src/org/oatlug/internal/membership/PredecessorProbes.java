// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.membership;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.function.Function;
import org.oatlug.errors.PeerUnavailableException;
import org.oatlug.internal.peer.Member;

/**
 * Probes the instance that precedes this one in the rank by which an availability zone selects the
 * readers of the store, and all preceding ones once it does not respond.
 *
 * <p>Random probes find a lost reader only after seconds when many instances are lost at once, and
 * the zone has no reader until then. Each instance probes one predecessor, so the first remaining
 * one learns that all before it are lost, whichever these are. Used from one event loop.
 */
final class PredecessorProbes {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Bounds the probes of one instance when many are lost; later ranks need not take over. */
  private static final int MAXIMUM_PROBED = 32;

  private final Function<Member, Uni<?>> ping;

  private PredecessorProbes(Function<Member, Uni<?>> ping) {
    this.ping = ping;
  }

  /**
   * Returns the probes of an instance.
   *
   * @param ping probes an instance, records whether it responds, and fails if it does not
   */
  static PredecessorProbes create(Function<Member, Uni<?>> ping) {
    return new PredecessorProbes(ping);
  }

  /**
   * Probes the nearest predecessor.
   *
   * @param predecessors the instances with a lower rank, in the order of their rank
   */
  void probe(List<Member> predecessors) {
    if (predecessors.isEmpty()) {
      return;
    }
    int nearest = predecessors.size() - 1;
    List<Member> others = predecessors.subList(0, Math.min(nearest, MAXIMUM_PROBED));
    ping.apply(predecessors.get(nearest))
        .subscribe()
        .with(
            response -> {},
            failure -> {
              if (PeerUnavailableException.isEvidence(failure)) {
                others.forEach(this::probeOne);
              }
            });
  }

  private void probeOne(Member member) {
    ping.apply(member)
        .subscribe()
        .with(
            response -> {},
            failure -> logger.atFine().log("predecessor %s does not respond", member.name()));
  }
}
