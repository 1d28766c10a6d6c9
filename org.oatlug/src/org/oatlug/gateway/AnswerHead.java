// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * The head of an upstream's answer, read from its wire form. Immutable.
 *
 * @param status the HTTP status
 * @param requestId the id of the request that it answers
 * @param verdict what the upstream says of the request
 * @param load the upstream's load, if it tells
 * @param confidence the model's opinion of its answer, 0 to 100
 * @param coldMillis how much longer the upstream is cold, in milliseconds, if it tells
 * @param answeredBy the upstream that answered, if it tells; another one may have the address
 * @param leaving whether the upstream says that it is about to go
 * @param rest for how long the upstream that refused wants nothing from this instance; empty if it
 *     does not ask
 * @param limitPerSecond the requests a second that the upstream takes from all instances together;
 *     empty if it names no limit
 */
public record AnswerHead(
    int status,
    Optional<String> requestId,
    Verdict verdict,
    Optional<Load> load,
    OptionalInt confidence,
    OptionalLong coldMillis,
    Optional<String> answeredBy,
    boolean leaving,
    Optional<Duration> rest,
    OptionalDouble limitPerSecond) {

  /** What an upstream says of the request. */
  public enum Verdict {
    /** It ran, or may have run. */
    RAN,
    /** It did not run and will not run there. */
    NOT_RUN,
    /** It did not run: another upstream has the address now. */
    WRONG_UPSTREAM
  }

  /**
   * The load of an upstream when it answered.
   *
   * @param running the requests that ran
   * @param waiting the requests that waited
   * @param slots how many may run at once
   */
  public record Load(int running, int waiting, int slots) {}
}
