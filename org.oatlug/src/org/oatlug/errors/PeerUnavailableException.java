// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.errors;

/** Signals a peer that is unreachable or did not respond in time. Immutable. */
public final class PeerUnavailableException extends OatlugException {
  private static final long serialVersionUID = 1L;

  private final String peer;

  /**
   * Creates the exception.
   *
   * @param peer the name of the peer
   */
  public PeerUnavailableException(String peer) {
    super(ErrorText.format(ErrorText.get().peerUnavailable, peer));
    this.peer = peer;
  }

  /** Returns the name of the peer. */
  public String peer() {
    return peer;
  }
}
