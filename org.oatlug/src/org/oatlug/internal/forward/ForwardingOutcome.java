// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.forward;

import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import org.oatlug.api.RefusalReason;

/**
 * What became of a forwarded request at its receiver. Immutable.
 *
 * @param refusal the reason for which the receiver refused it, empty if an upstream responded
 * @param notRun whether the receiver has not run it
 */
public record ForwardingOutcome(Optional<RefusalReason> refusal, boolean notRun) {
  /** An upstream responded. */
  static final ForwardingOutcome RELAYED = new ForwardingOutcome(Optional.empty(), false);

  /** The reasons that apply to the receiver alone, so that another instance may serve it. */
  private static final Set<RefusalReason> OF_RECEIVER =
      EnumSet.of(
          RefusalReason.NOT_ALLOWED,
          RefusalReason.NOT_READY,
          RefusalReason.STOPPING,
          RefusalReason.OVERLOADED,
          RefusalReason.ROUTE_UNKNOWN,
          RefusalReason.KEY_UNKNOWN,
          RefusalReason.BODY_TOO_LARGE,
          RefusalReason.UPSTREAMS_UNREACHABLE);

  /** Parses the name of the reason and whether the request ran, separated by a blank. */
  static Optional<ForwardingOutcome> parseRefused(String text) {
    int blank = text.indexOf(' ');
    if (blank < 0) {
      return Optional.empty();
    }
    try {
      RefusalReason reason = RefusalReason.valueOf(text.substring(0, blank));
      boolean notRun = text.substring(blank + 1).equals("YES");
      return Optional.of(new ForwardingOutcome(Optional.of(reason), notRun));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  /** Returns whether another instance may serve the request. */
  public boolean isServableElsewhere() {
    return notRun && refusal.filter(OF_RECEIVER::contains).isPresent();
  }
}
