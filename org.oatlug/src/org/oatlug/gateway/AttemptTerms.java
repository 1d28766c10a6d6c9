// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What the system adds to a request that it passes on. Immutable.
 *
 * @param upstream the name of the upstream that shall answer; another one at its address refuses
 * @param workspace the workspace of the caller's key
 * @param timeLeft how long the upstream may work
 * @param model the model that shall answer, empty to keep the caller's
 * @param resumeAfter the last event that the caller has, if a stream goes on
 * @param priority the rank at the upstream, 0 is the most urgent
 */
public record AttemptTerms(
    String upstream,
    Optional<String> workspace,
    Duration timeLeft,
    Optional<String> model,
    OptionalLong resumeAfter,
    OptionalInt priority) {}
