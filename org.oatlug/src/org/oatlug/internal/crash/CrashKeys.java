// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.crash;

import java.util.List;
import java.util.stream.Stream;

/**
 * The keys under which crashes during a request are recorded. Immutable.
 *
 * @param request the fingerprint of the whole request
 * @param parts the fingerprints of the prompt parts that other requests may share
 */
public record CrashKeys(String request, List<String> parts) {
  /** Returns the keys of a request without shared prompt parts. */
  public static CrashKeys ofRequest(String request) {
    return new CrashKeys(request, List.of());
  }

  /** Returns all keys, that of the whole request first. */
  List<String> all() {
    return Stream.concat(Stream.of(request), parts.stream()).toList();
  }

  boolean contains(String key) {
    return request.equals(key) || parts.contains(key);
  }
}
