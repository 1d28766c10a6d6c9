// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.forward;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What an instance tells another one about a request that it has admitted and forwards. Immutable.
 *
 * <p>Times are durations, since the clocks of instances differ.
 *
 * @param route the name of its route
 * @param service the service chosen among the targets of the route
 * @param workspace the workspace of its key, empty on a route that needs no key
 * @param remainingMillis the time left until its deadline, in milliseconds
 * @param maximumAttempts the number of upstreams to which the receiver may send it
 * @param triedUpstreams the upstreams to which it has already been sent
 * @param failedVersion the version on which the previous attempt failed
 * @param stage the model of the cascade to begin with, empty to let the receiver choose
 * @param resumeAfter the number of the last event that the caller has
 */
public record ForwardedRequest(
    String route,
    String service,
    Optional<String> workspace,
    long remainingMillis,
    int maximumAttempts,
    List<String> triedUpstreams,
    Optional<String> failedVersion,
    OptionalInt stage,
    OptionalLong resumeAfter) {
  private static final int MAXIMUM_ATTEMPTS = 100;

  /** Returns the reason to reject the record, empty if it is valid. */
  Optional<String> problem() {
    if (route == null || service == null || triedUpstreams == null) {
      return Optional.of("a field is missing");
    }
    boolean plausible =
        remainingMillis > 0 && maximumAttempts > 0 && maximumAttempts <= MAXIMUM_ATTEMPTS;
    return plausible ? Optional.empty() : Optional.of("a number is out of range");
  }
}
