// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.api;

import java.time.Duration;
import java.util.Optional;

/**
 * A typed refusal with its reason, whether the request ran and when to retry. Immutable.
 *
 * @param reason the reason for the refusal
 * @param notRun whether the request is known not to have run
 * @param detail a human-readable sentence
 * @param retryAfter the time after which a retry may succeed, empty if a retry is pointless
 */
public record Refusal(
    RefusalReason reason, NotRun notRun, String detail, Optional<Duration> retryAfter) {

  /** Returns a refusal of a request that did not run, without a retry time. */
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
