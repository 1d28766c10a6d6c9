// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import java.util.Map;
import org.oatlug.internal.crash.CrashLedger;
import org.oatlug.internal.crash.CrashUpdate;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.util.BoundedMap;

/**
 * Tracks, for each peer process, the revision of the crash ledger that it acknowledged and the
 * revision of its ledger that this instance has read.
 *
 * <p>Invariants: a changed record is sent until a response acknowledges it; a new process, even
 * under the same name, receives all records from the beginning, so records that only a crashed
 * process had received are not lost. Owned by one event loop, not thread-safe.
 */
final class CrashReplication {
  /** Bounds the peers: the instances of this zone and the collectors of the other zones. */
  private static final int MAXIMUM_PROCESSES = 1024;

  private final CrashLedger ledger;
  private final Map<String, Long> acknowledgedRevisions =
      BoundedMap.withMaximumSize(MAXIMUM_PROCESSES);
  private final Map<String, Long> readRevisions = BoundedMap.withMaximumSize(MAXIMUM_PROCESSES);

  private CrashReplication(CrashLedger ledger) {
    this.ledger = ledger;
  }

  /** Returns a state without acknowledged or read revisions. */
  static CrashReplication of(CrashLedger ledger) {
    return new CrashReplication(ledger);
  }

  /** Returns whether the peer has not acknowledged all changes. */
  boolean isBehind(Member peer) {
    return acknowledgedRevisions.getOrDefault(peer.process(), 0L) < ledger.revision();
  }

  /** Returns the changes that the peer has not acknowledged. */
  CrashUpdate changesFor(Member peer) {
    return ledger.after(acknowledgedRevisions.getOrDefault(peer.process(), 0L));
  }

  /** Records that the peer acknowledged the changes. */
  void acknowledged(Member peer, CrashUpdate sent) {
    acknowledgedRevisions.merge(peer.process(), sent.upTo(), Math::max);
  }

  /** Returns the revision up to which this instance has read the ledger of the peer. */
  long readRevision(Member peer) {
    return readRevisions.getOrDefault(peer.process(), 0L);
  }

  /** Merges the changes of a response, which follow the revision read before. */
  void mergeResponse(Member peer, CrashUpdate changes) {
    ledger.merge(changes.records(), peer.name());
    readRevisions.put(peer.process(), changes.upTo());
  }

  /** Merges changes that the peer pushed, which may omit earlier ones. */
  void mergePushed(Member peer, CrashUpdate changes) {
    ledger.merge(changes.records(), peer.name());
  }
}
