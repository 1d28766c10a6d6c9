// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import java.util.List;

/** An instance's own side of what is gathered. Used from one event loop. */
public interface Participant {

  /** Returns what this instance has open, sees and has measured. */
  Account own();

  /** Returns sessions that others have to know of, those seen here since the last call. */
  List<SeenSession> newlySeen();

  /** Returns all such sessions seen here that count still. */
  List<SeenSession> seenHere();

  /** Returns all such sessions that count still, those that others told of included. */
  List<SeenSession> allSeen();

  /** Takes in the account of all other instances. */
  void heard(Account others);

  /** Takes in sessions that others have seen. */
  void heardSessions(List<SeenSession> sessions);
}
