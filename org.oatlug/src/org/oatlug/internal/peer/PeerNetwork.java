// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.peer;

import io.smallrye.mutiny.Uni;
import java.time.Duration;

/** Sends requests to other instances. Used from one event loop. */
public interface PeerNetwork {

  /**
   * Sends a message and returns its response.
   *
   * <p>Fails with {@link org.oatlug.errors.PeerUnavailableException} when the peer cannot be
   * reached, reports a failure, or does not respond within {@code timeout}. The exception tells
   * whether the failure is evidence, which a timeout during lag of the own event loop is not.
   */
  Uni<PeerMessage> sendRequest(Member peer, PeerMessage message, Duration timeout);
}
