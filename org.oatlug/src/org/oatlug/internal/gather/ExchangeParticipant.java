// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import java.util.List;

/**
 * Supplies the report of this instance and receives those of the others. Used from one event loop.
 */
public interface ExchangeParticipant {

  /** Returns the report of this instance. */
  StateReport localReport();

  /** Returns the sessions to replicate that this instance observed since the last call. */
  List<SessionObservation> drainPendingSessions();

  /** Returns all unexpired sessions that this instance observed. */
  List<SessionObservation> localSessions();

  /** Returns all unexpired sessions, including those replicated from other instances. */
  List<SessionObservation> knownSessions();

  /** Applies the aggregated report of all other instances. */
  void applyReported(StateReport others);

  /** Applies sessions that other instances observed. */
  void applyReportedSessions(List<SessionObservation> sessions);
}
