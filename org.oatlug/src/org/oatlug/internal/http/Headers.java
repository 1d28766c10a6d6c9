// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.http;

/** Names of the HTTP headers of requests and responses. */
final class Headers {
  static final String AUTHORIZATION = "Authorization";
  static final String DEADLINE = "Oatlug-Deadline-Ms";
  static final String IDEMPOTENCY_KEY = "Idempotency-Key";
  static final String REPLAYED = "Oatlug-Replayed";
  static final String REQUEST_ID = "Oatlug-Request-Id";
  static final String SESSION = "Oatlug-Session";
  static final String TASK = "Oatlug-Task";
  static final String UPSTREAM = "Oatlug-Upstream";
  static final String UPSTREAM_PRIORITY = "X-Priority";
  static final String UPSTREAM_REQUEST_ID = "X-Request-Id";
  static final String VERSION = "Oatlug-Version";
  static final String WORKSPACE = "X-Workspace";

  private Headers() {}
}
