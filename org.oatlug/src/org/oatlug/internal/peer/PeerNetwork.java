// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.peer;

import io.smallrye.mutiny.Uni;
import java.time.Duration;

/** Sends messages to other instances. Used from one event loop. */
public interface PeerNetwork {

  /**
   * Sends a message and waits for its answer.
   *
   * <p>Fails with {@link org.oatlug.errors.PeerUnavailableException} when the peer cannot be
   * reached, answers that it failed, or does not answer within {@code patience}.
   */
  Uni<PeerMessage> ask(Member peer, PeerMessage message, Duration patience);
}
