// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import java.util.List;

/** An instance's own side of what is gathered. Used from one event loop. */
public interface Participant {

  /** Returns what this instance has open, sees and has measured. */
  Account own();

  /** Returns sessions that this instance keeps on the old version, those since the last call. */
  List<KeptSession> newlyKept();

  /** Takes in the account of all other instances. */
  void heard(Account others);

  /** Takes in sessions that others keep on the old version. */
  void heardKept(List<KeptSession> sessions);
}
