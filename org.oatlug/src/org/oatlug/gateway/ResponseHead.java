// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Head of an upstream's response, decoded from its wire form. Immutable.
 *
 * @param status the HTTP status
 * @param requestId the id of the request to which it responds
 * @param verdict whether the upstream may have executed the request
 * @param load the load of the upstream, if reported
 * @param confidence the model's confidence in its response, 0 to 100
 * @param coldMillis the remaining duration of the cold start in milliseconds, if reported
 * @param answeredBy the upstream that responded, if reported; it differs from the addressed one if
 *     the address was reassigned
 * @param leaving whether the upstream reports that it is about to shut down
 * @param backOff how long this instance has to back off from an upstream that refused; empty if not
 *     requested
 * @param limitPerSecond the limit of requests per second that the upstream accepts from all
 *     instances together; empty if it advertises none
 * @param bearableRejections the requests per second, of all instances together, that the upstream
 *     can reject for want of room without failing; empty if it is not brittle
 */
public record ResponseHead(
    int status,
    Optional<String> requestId,
    Verdict verdict,
    Optional<Load> load,
    OptionalInt confidence,
    OptionalLong coldMillis,
    Optional<String> answeredBy,
    boolean leaving,
    Optional<Duration> backOff,
    OptionalDouble limitPerSecond,
    OptionalDouble bearableRejections) {

  /** Statement of an upstream about the execution of a request. */
  public enum Verdict {
    /** The request was executed, or may have been. */
    RAN,
    /** The request was not executed and will not be executed there. */
    NOT_RUN,
    /** The request was not executed: the address now belongs to another upstream. */
    WRONG_UPSTREAM
  }

  /**
   * Load of an upstream at the time of its response.
   *
   * @param running the number of running requests
   * @param waiting the number of queued requests
   * @param slots the maximum number of concurrently running requests
   * @param slowdown the factor by which work takes longer at this moment than it usually does
   *     there, 1 for as usual; empty if not reported
   */
  public record Load(int running, int waiting, int slots, OptionalDouble slowdown) {}
}
