// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import java.util.Map;
import org.oatlug.internal.crash.CrashLedger;
import org.oatlug.internal.crash.CrashNews;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.util.BoundedMap;

/**
 * Up to which change of the ledger of crashes each other process has been told, and has told.
 *
 * <p>Invariants: a record that changed is told until an answer confirms it; another process, also
 * one under the same name, is told all from the beginning, so what was told is not lost with the
 * one that was told. Owned by one event loop, not thread-safe.
 */
final class ToldCrashes {
  /** Instances that one tells or reads: its own zone's and the collectors of the others. */
  private static final int MOST_PROCESSES = 1024;

  private final CrashLedger ledger;
  private final Map<String, Long> told = BoundedMap.ofMost(MOST_PROCESSES);
  private final Map<String, Long> read = BoundedMap.ofMost(MOST_PROCESSES);

  private ToldCrashes(CrashLedger ledger) {
    this.ledger = ledger;
  }

  /** Returns a state in which nobody was told anything. */
  static ToldCrashes of(CrashLedger ledger) {
    return new ToldCrashes(ledger);
  }

  /** Returns whether the process has not been told all. */
  boolean isBehind(Member peer) {
    return told.getOrDefault(peer.process(), 0L) < ledger.revision();
  }

  /** Returns what the process has not been told. */
  CrashNews newsFor(Member peer) {
    return ledger.after(told.getOrDefault(peer.process(), 0L));
  }

  /** Notes that the process confirmed what it was told. */
  void confirmed(Member peer, CrashNews sent) {
    told.merge(peer.process(), sent.upTo(), Math::max);
  }

  /** Returns up to which of the process's changes this instance has read. */
  long readFrom(Member peer) {
    return read.getOrDefault(peer.process(), 0L);
  }

  /** Takes in what the process answered. */
  void heard(Member peer, CrashNews news) {
    ledger.merge(news.records(), peer.name());
    read.put(peer.process(), news.upTo());
  }

  /** Takes in what the process told of its own accord, which may leave out what came before. */
  void pushed(Member peer, CrashNews news) {
    ledger.merge(news.records(), peer.name());
  }
}
