// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.peer;

import java.util.Comparator;

/**
 * Describes an entry instance and its state. Immutable.
 *
 * <p>Records of one name are ordered by epoch, then incarnation, then state; the highest is valid.
 * The handshake authenticates {@link #toString()}, so the names of the type, its components and the
 * states are part of the protocol.
 *
 * @param name the configured name of the instance
 * @param zone the availability zone
 * @param rack the rack
 * @param host the IP address
 * @param peerPort the port of the peer protocol
 * @param epoch the start of the process in milliseconds since 1970; 0 if it is only listed
 * @param incarnation the number of suspicions that the process refuted
 * @param state the state of the instance
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

  /** The state of an instance; a later constant supersedes an earlier one. */
  public enum State {
    ALIVE,
    SUSPECT,
    LEAVING,
    DEAD
  }

  /** Returns whether this record supersedes {@code other}. */
  public boolean supersedes(Member other) {
    return ORDER.compare(this, other) > 0;
  }

  /** Returns this record in another state. */
  public Member withState(State newState) {
    return new Member(name, zone, rack, host, peerPort, epoch, incarnation, newState);
  }

  /** Returns this record in the given state, with an incarnation above the given one. */
  public Member refuting(int otherIncarnation, State newState) {
    return new Member(name, zone, rack, host, peerPort, epoch, otherIncarnation + 1, newState);
  }

  /**
   * Returns this record with a later epoch, for a process whose clock is behind the clock that set
   * the epoch of its predecessor.
   */
  public Member withEpoch(long newEpoch) {
    return new Member(name, zone, rack, host, peerPort, newEpoch, incarnation, state);
  }

  /**
   * Returns the text that the handshake authenticates, in the form that records have by default.
   * Written out, because linking the generated method costs several milliseconds of a start.
   */
  @Override
  public String toString() {
    return "Member[name="
        + name
        + ", zone="
        + zone
        + ", rack="
        + rack
        + ", host="
        + host
        + ", peerPort="
        + peerPort
        + ", epoch="
        + epoch
        + ", incarnation="
        + incarnation
        + ", state="
        + state
        + "]";
  }

  /** Returns the unique identifier of the process: its name and epoch. */
  public String process() {
    return name + "@" + epoch;
  }
}
