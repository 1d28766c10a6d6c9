// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.api;

import java.util.Locale;

/**
 * The reason why a request was refused; each reason has its own counter. Immutable.
 *
 * <p>The number is the HTTP status code of the response.
 */
public enum RefusalReason {
  KEY_MISSING(401),
  KEY_UNKNOWN(401),
  BODY_INVALID(400),
  BODY_TOO_LARGE(413),
  BODY_INCOMPLETE(408),
  HEADER_INVALID(400),
  HEADER_TOO_LARGE(431),
  MODEL_UNKNOWN(404),
  ROUTE_UNKNOWN(404),
  NOT_ALLOWED(403),
  SESSION_INVALID(400),
  VERSION_WITHDRAWN(409),
  RATE_LIMITED(429),
  OVERLOADED(503),
  DEADLINE_PASSED(504),
  NO_UPSTREAM(503),
  ZONES_EMPTIED(503),
  UPSTREAMS_COLD(503),
  UPSTREAMS_REST(503),
  UPSTREAMS_LIMITED(503),
  UPSTREAMS_BRITTLE(503),
  UPSTREAMS_UNREACHABLE(503),
  CRASHES_UPSTREAMS(503),
  UPSTREAM_FAILED(502),
  UPSTREAM_REFUSED(503),
  LEDGER_UNAVAILABLE(503),
  STILL_RUNNING(409),
  ANSWER_LOST(409),
  MAY_HAVE_RUN(409),
  KEY_REUSED(422),
  KEY_EXPIRED(409),
  WITNESS_FULL(503),
  INTERNAL_ERROR(503),
  NOT_READY(503),
  STOPPING(503),
  CONFIGURATION_UNCONFIRMED(503);

  private final int status;

  RefusalReason(int status) {
    this.status = status;
  }

  /** Returns the HTTP status code of this reason. */
  public int status() {
    return status;
  }

  /** Returns the name used in responses and metrics, such as {@code rate-limited}. */
  public String text() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
