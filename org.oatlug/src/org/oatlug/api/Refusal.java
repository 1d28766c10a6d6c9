// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.api;

import java.time.Duration;
import java.util.Optional;

/**
 * A typed refusal: why, whether the request ran, and when to come back. Immutable.
 *
 * @param reason why the request was refused
 * @param notRun whether the request is known not to have run
 * @param detail one sentence for a person
 * @param retryAfter when a retry may succeed, empty if a retry is of no use
 */
public record Refusal(
    RefusalReason reason, NotRun notRun, String detail, Optional<Duration> retryAfter) {

  /** Returns a refusal of a request that did not run, without a time to come back. */
  public static Refusal notRun(RefusalReason reason, String detail) {
    return new Refusal(reason, NotRun.YES, detail, Optional.empty());
  }

  /** Returns a refusal of a request that did not run and may be retried after {@code wait}. */
  public static Refusal retryAfter(RefusalReason reason, String detail, Duration wait) {
    return new Refusal(reason, NotRun.YES, detail, Optional.of(wait));
  }

  /** Returns a refusal of a request that may have run. */
  public static Refusal unknown(RefusalReason reason, String detail) {
    return new Refusal(reason, NotRun.UNKNOWN, detail, Optional.empty());
  }
}
