// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.peer;

import java.util.Comparator;

/**
 * What is said of an entry instance. Immutable.
 *
 * <p>Records of one name are ordered by epoch, then incarnation, then state; the higher one counts.
 *
 * @param name the name from its settings
 * @param zone the availability zone
 * @param rack the rack
 * @param host the IP number
 * @param peerPort the port of the peers' protocol
 * @param epoch when the process started, in milliseconds since 1970; 0 if only listed
 * @param incarnation how often the process contradicted a suspicion
 * @param state what is believed of it
 */
public record Member(
    String name,
    String zone,
    String rack,
    String host,
    int peerPort,
    long epoch,
    int incarnation,
    State state) {
  private static final Comparator<Member> ORDER =
      Comparator.comparingLong(Member::epoch)
          .thenComparingInt(Member::incarnation)
          .thenComparing(Member::state);

  /** What is believed of an instance; the later constant goes before the earlier. */
  public enum State {
    ALIVE,
    SUSPECT,
    LEAVING,
    DEAD
  }

  /** Returns whether this record goes before {@code other}. */
  public boolean supersedes(Member other) {
    return ORDER.compare(this, other) > 0;
  }

  /** Returns this record in another state. */
  public Member withState(State newState) {
    return new Member(name, zone, rack, host, peerPort, epoch, incarnation, newState);
  }

  /** Returns this record with a higher incarnation, alive. */
  public Member refuting(int otherIncarnation, State newState) {
    return new Member(name, zone, rack, host, peerPort, epoch, otherIncarnation + 1, newState);
  }

  /**
   * Returns this record with a later epoch, for a process whose clock is behind the one that its
   * predecessor started by.
   */
  public Member withEpoch(long newEpoch) {
    return new Member(name, zone, rack, host, peerPort, newEpoch, incarnation, state);
  }

  /** Returns the name and epoch, which no other process has. */
  public String process() {
    return name + "@" + epoch;
  }
}
