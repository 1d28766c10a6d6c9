// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The head of a caller's request, read from its wire form. Immutable.
 *
 * @param id the id of this attempt of the caller; passed on as it came
 * @param host the host that the caller names
 * @param path the path without its query
 * @param key the caller's key, empty if it sent none
 * @param patience how long the caller waits, empty if it does not say
 * @param session the session that the caller names
 * @param resumeAfter the last event that the caller has, if it resumes a stream
 * @param generation what a request for generated text says of itself
 */
public record RequestHead(
    String id,
    String host,
    String path,
    Optional<String> key,
    Optional<Duration> patience,
    Optional<String> session,
    OptionalLong resumeAfter,
    Optional<Generation> generation) {
  @Override
  public String toString() {
    return "RequestHead[" + id + "]";
  }
}
