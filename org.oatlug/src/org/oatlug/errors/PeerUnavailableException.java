// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.errors;

/** Signals a peer that is unreachable or did not respond in time. Immutable. */
public final class PeerUnavailableException extends OatlugException {
  private static final long serialVersionUID = 1L;

  private final String peer;
  private final boolean ownDelay;

  /**
   * Creates the exception.
   *
   * @param peer the name of the peer
   */
  public PeerUnavailableException(String peer) {
    this(peer, false);
  }

  private PeerUnavailableException(String peer, boolean ownDelay) {
    super(ErrorText.format(ErrorText.get().peerUnavailable, peer));
    this.peer = peer;
    this.ownDelay = ownDelay;
  }

  /** Returns the failure of a request that timed out while this instance was late itself. */
  public static PeerUnavailableException duringOwnDelay(String peer) {
    return new PeerUnavailableException(peer, true);
  }

  /** Returns whether a failed request is evidence that the peer does not respond. */
  public static boolean isEvidence(Throwable failure) {
    return !(failure instanceof PeerUnavailableException unavailable) || !unavailable.ownDelay;
  }

  /** Returns the name of the peer. */
  public String peer() {
    return peer;
  }
}
