// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Terms that the system adds to a request when it forwards it to an upstream. Immutable.
 *
 * @param upstream the name of the addressed upstream; a different upstream at its address refuses
 * @param workspace the workspace of the caller's key
 * @param timeLeft the time that the upstream has for the request
 * @param model the requested model, empty to keep the caller's
 * @param resumeAfter the number of the last event that the caller received, if a stream is resumed
 * @param priority the priority at the upstream, 0 is the most urgent
 */
public record AttemptMetadata(
    String upstream,
    Optional<String> workspace,
    Duration timeLeft,
    Optional<String> model,
    OptionalLong resumeAfter,
    OptionalInt priority) {}
