// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Head of a caller's request, decoded from its wire form. Immutable.
 *
 * @param id the id of this try of the caller, forwarded unchanged
 * @param host the requested host
 * @param path the path without its query
 * @param key the caller's key, empty if absent
 * @param callerTimeout the caller's timeout, empty if not stated
 * @param session the session id that the caller sent
 * @param resumeAfter the number of the last event that the caller received, if it resumes a stream
 * @param generation the parameters of a request for generated text
 */
public record RequestHead(
    String id,
    String host,
    String path,
    Optional<String> key,
    Optional<Duration> callerTimeout,
    Optional<String> session,
    OptionalLong resumeAfter,
    Optional<Generation> generation) {
  @Override
  public String toString() {
    return "RequestHead[" + id + "]";
  }
}
