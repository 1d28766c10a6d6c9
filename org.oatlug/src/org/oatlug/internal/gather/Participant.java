// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import java.util.List;

/**
 * Supplies the report of this instance and receives those of the others. Used from one event loop.
 */
public interface Participant {

  /** Returns the report of this instance. */
  Account own();

  /** Returns the sessions to replicate that this instance observed since the last call. */
  List<SeenSession> newlySeen();

  /** Returns all unexpired sessions that this instance observed. */
  List<SeenSession> seenHere();

  /** Returns all unexpired sessions, including those replicated from other instances. */
  List<SeenSession> allSeen();

  /** Applies the aggregated report of all other instances. */
  void heard(Account others);

  /** Applies sessions that other instances observed. */
  void heardSessions(List<SeenSession> sessions);
}
